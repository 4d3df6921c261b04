// Package logs sets up structured logs: one line of key=value pairs an event.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns the log of one box at a level.
func New(out io.Writer, level, box string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger.WithField("box", box)
}
