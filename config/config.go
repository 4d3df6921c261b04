// Package config reads and checks the JSON settings of a daemon. No other
// package opens the settings file.
package config

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"petrelstep/schemacheck"
	"petrelstep/wire"
)

// Config is a checked set of settings.
type Config struct{ wire.Settings }

// Error lists all mistakes of a settings file with their places.
type Error struct {
	File   string
	Places []string
}

// Error implements error.
func (e *Error) Error() string {
	text := "settings " + e.File + ":"
	for _, p := range e.Places {
		text += "\n  " + p
	}
	return text
}

// New reads the file and checks everything in it; the error is an *Error.
func New(file string) (Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Config{}, &Error{File: file, Places: []string{err.Error()}}
	}
	var c Config
	if err := schemacheck.New("Settings").Decode(raw, &c.Settings); err != nil {
		var m *schemacheck.Mistakes
		errors.As(err, &m)
		return Config{}, &Error{File: file, Places: m.Places}
	}
	c.defaults(raw)
	if places := c.mistakes(); len(places) > 0 {
		return Config{}, &Error{File: file, Places: places}
	}
	return c, nil
}

// defaults fills the sections that the file leaves out: the generated decoder
// gives a missing section no defaults of its own.
func (c *Config) defaults(raw []byte) {
	var given map[string]json.RawMessage
	_ = json.Unmarshal(raw, &given) // it was decoded before
	if given["limits"] == nil {
		_ = json.Unmarshal([]byte("{}"), &c.Limits)
	}
	if given["tls"] == nil {
		_ = json.Unmarshal([]byte("{}"), &c.TLS)
	}
}

// mistakes finds what a schema cannot say.
func (c Config) mistakes() []string {
	var places []string
	l := c.Listen
	if l.Callers == l.Admin || l.Callers == l.Peers || l.Admin == l.Peers {
		places = append(places, "/listen: the three addresses must differ")
	}
	if (c.TLS.Certificate == "") != (c.TLS.Key == "") {
		places = append(places, "/tls: certificate and key go together")
	}
	for _, file := range []string{c.TLS.Certificate, c.TLS.Key, c.TLS.PeerAuthority} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			places = append(places, "/tls: "+err.Error())
		}
	}
	if c.LeaseMs <= 2*c.OrderTimeoutMs {
		places = append(places, "/lease_ms: must be more than twice order_timeout_ms, or no order could ever be sent")
	}
	return places
}

// Millis turns a setting into a duration.
func Millis[N int | float64](ms N) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}

// StopTime returns how long a planned stop of this box may take.
func (c Config) StopTime() time.Duration {
	if c.Edge != nil && c.Edge.StopS > 0 {
		return Millis(c.Edge.StopS * 1000)
	}
	return Millis(c.DrainMs)
}

// SharedKey returns the secret that all boxes share; empty where the settings
// need none.
func (c Config) SharedKey() string {
	if c.RequestKey == nil {
		return ""
	}
	return *c.RequestKey
}
