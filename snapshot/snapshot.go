// Package snapshot packs a whole fleet of upstreams once for all boxes that are to be
// told it.
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
	// keptFor is how long a packed fleet is handed on: as long as boxes that start
	// together ask for it. What changes meanwhile is told by change, and upstreams that
	// are cold are taken to be so for that much longer at most.
	keptFor = 500 * time.Millisecond
	// unpackedMost bounds a fleet, in bytes: some 100 an upstream.
	unpackedMost = 64 << 20
)

// Error says that a fleet could not be packed or unpacked.
type Error struct{ Err error }

// Error implements error.
func (e *Error) Error() string { return "snapshot: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Source returns the whole fleet, and its last change.
type Source func() (list []wire.UpstreamRecord, change int)

// Snapshot is safe for use by several goroutines.
type Snapshot struct {
	source Source

	mu     sync.Mutex
	packed string
	change int
	at     time.Time
}

// New returns the snapshot of a source; it is taken when it is asked for.
func New(s Source) *Snapshot { return &Snapshot{source: s} }

// Packed returns the fleet, and the last change that is in it. It costs the same for any
// number of boxes that ask within keptFor.
func (s *Snapshot) Packed(now time.Time) (packed string, change int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != "" && now.Sub(s.at) < keptFor {
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

// Unpack returns the fleet that another box packed.
func Unpack(packed string) ([]wire.UpstreamRecord, error) {
	var list []wire.UpstreamRecord
	in := io.LimitReader(flate.NewReader(bytes.NewReader([]byte(packed))), unpackedMost)
	if err := gob.NewDecoder(in).Decode(&list); err != nil {
		return nil, &Error{err}
	}
	return list, nil
}
