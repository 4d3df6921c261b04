// Package snapshot encodes a complete fleet of upstreams once for all boxes that need
// it.
package snapshot

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"
	"time"

	"petrelstep/wire"
)

const (
	// maxAge is how long an encoded fleet is reused, so that boxes that start together
	// share it. Later changes are sent as changes; an upstream that is cold may count
	// as cold for that much longer.
	maxAge = 500 * time.Millisecond
	// maxUnpackedSize bounds a decoded fleet, in bytes. An upstream takes about 100.
	maxUnpackedSize = 64 << 20
)

// Error is a failure to encode or decode a fleet.
type Error struct{ Err error }

// Error implements error.
func (e *Error) Error() string { return "snapshot: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Source returns the complete fleet and the number of its last change.
type Source func() (list []wire.UpstreamRecord, change int)

// Snapshot caches an encoded fleet. It is safe for concurrent use.
type Snapshot struct {
	source Source

	mu     sync.Mutex
	packed string
	change int
	at     time.Time
}

// New returns the snapshot of a source, which is encoded when it is first needed.
func New(s Source) *Snapshot { return &Snapshot{source: s} }

// Packed returns the encoded fleet and the number of the last change in it. Calls
// within maxAge share the result.
func (s *Snapshot) Packed(now time.Time) (packed string, change int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != "" && now.Sub(s.at) < maxAge {
		return s.packed, s.change, nil
	}
	list, change := s.source()
	packed, err = pack(list)
	if err != nil {
		return "", 0, err
	}
	s.packed, s.change, s.at = packed, change, now
	return packed, change, nil
}

func pack(list []wire.UpstreamRecord) (string, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return "", &Error{err}
	}
	if err := gob.NewEncoder(w).Encode(list); err != nil {
		return "", &Error{err}
	}
	if err := w.Close(); err != nil {
		return "", &Error{err}
	}
	return out.String(), nil
}

// Unpack decodes a fleet that another box encoded.
func Unpack(packed string) ([]wire.UpstreamRecord, error) {
	var list []wire.UpstreamRecord
	in := io.LimitReader(flate.NewReader(bytes.NewReader([]byte(packed))), maxUnpackedSize)
	if err := gob.NewDecoder(in).Decode(&list); err != nil {
		return nil, &Error{err}
	}
	return list, nil
}
