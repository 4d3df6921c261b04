// Package config reads and validates the JSON settings of a daemon. No other package
// opens the settings file.
package config

import (
	"encoding/json"
	"os"
	"time"

	"petrelstep/schemacheck"
	"petrelstep/wire"
)

// Config is a valid set of settings.
type Config struct{ wire.Settings }

// Error lists all mistakes in a settings file.
type Error struct {
	File   string
	Places []string // JSON pointers or field names, most with an explanation
}

// Error implements error.
func (e *Error) Error() string {
	text := "settings " + e.File + ":"
	for _, p := range e.Places {
		text += "\n  " + p
	}
	return text
}

// New reads and validates a settings file. The error is an *Error.
func New(file string) (Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Config{}, &Error{File: file, Places: []string{err.Error()}}
	}
	var c Config
	if err := schemacheck.New("Settings").Decode(raw, &c.Settings); err != nil {
		return Config{}, &Error{File: file, Places: schemacheck.PlacesOf(err)}
	}
	c.defaults(raw)
	if places := c.mistakes(); len(places) > 0 {
		return Config{}, &Error{File: file, Places: places}
	}
	return c, nil
}

// PeersAddress returns the address at which other boxes reach this one.
func (c Config) PeersAddress() string {
	if c.Listen.PeersAdvertised != nil {
		return *c.Listen.PeersAdvertised
	}
	return c.Listen.Peers
}

// defaults fills in the sections that the file omits: the generated decoder applies
// the defaults of fields only within sections that are present.
func (c *Config) defaults(raw []byte) {
	var given map[string]json.RawMessage
	_ = json.Unmarshal(raw, &given) // cannot fail: the schema decoder has parsed it
	if given["limits"] == nil {
		_ = json.Unmarshal([]byte("{}"), &c.Limits)
	}
	if given["tls"] == nil {
		_ = json.Unmarshal([]byte("{}"), &c.TLS)
	}
}

// mistakes checks the constraints that the schema cannot express.
func (c Config) mistakes() []string {
	var places []string
	l := c.Listen
	if l.Callers == l.Admin || l.Callers == l.Peers || l.Admin == l.Peers {
		places = append(places, "/listen: the three addresses must differ")
	}
	if (c.TLS.Certificate == "") != (c.TLS.Key == "") {
		places = append(places, "/tls: certificate and key must be set together")
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

// Millis converts a setting in milliseconds into a duration.
func Millis[N int | float64](ms N) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}

// StopTime returns the maximum duration of a planned stop of this box.
func (c Config) StopTime() time.Duration {
	if c.Edge != nil && c.Edge.StopS > 0 {
		return Millis(c.Edge.StopS * 1000)
	}
	return Millis(c.DrainMs)
}

// SharedKey returns the secret that all boxes share; empty if it is not set.
func (c Config) SharedKey() string {
	if c.RequestKey == nil {
		return ""
	}
	return *c.RequestKey
}
