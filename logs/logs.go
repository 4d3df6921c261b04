// Package logs sets up structured logging: each event is one line of key=value pairs.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a logger that adds the box's name to each line. An invalid level means info.
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
