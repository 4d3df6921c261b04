package configfetch_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/configfetch"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/wire"
)

// way is how a box answers the call for its configuration.
type way struct {
	after   time.Duration // 0 for never
	version int
	err     error
}

// boxes answers calls, and is the configuration in force.
type boxes struct {
	ways map[string]way
	size int // of the configuration, in bytes

	mu       sync.Mutex
	calls    []string
	applied  []int
	version  int
	at       time.Time
	outcomes []string
}

func (b *boxes) CallIdempotent(ctx context.Context, address, _ string, _, reply any) error {
	b.mu.Lock()
	b.calls = append(b.calls, address)
	w := b.ways[address]
	b.mu.Unlock()
	var answered <-chan time.Time
	if w.after > 0 {
		answered = time.After(w.after)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-answered:
	}
	*reply.(*wire.Configuration) = wire.Configuration{Version: w.version, Encoded: fmt.Sprint(w.version)}
	return w.err
}

func (b *boxes) Timeout(address string) (time.Duration, bool) {
	return 20 * time.Millisecond, address != "unknown"
}

func (b *boxes) Version() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *boxes) Size() int { return b.size }

func (b *boxes) Apply(encoded []byte, _ string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	version := 0
	if _, err := fmt.Sscan(string(encoded), &version); err != nil {
		return err
	}
	if version > b.version {
		b.version, b.at = version, time.Now()
	}
	b.applied = append(b.applied, version)
	return nil
}

func (b *boxes) Confirm(time.Time) {}

func (b *boxes) count(outcome string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes = append(b.outcomes, outcome)
}

const (
	roundTrip = 10 * time.Millisecond
	delay     = 50 * time.Millisecond // the minimum until a further box is asked
)

// TestFetch guards against one box that does not answer and keeps all others from being asked.
func TestFetch(t *testing.T) {
	soon := way{after: roundTrip, version: 5}
	tests := map[string]struct {
		ways     map[string]way
		answered []string // boxes that announced in an answer
		called   []string // boxes that called
		size     int
		calls    []string
		took     time.Duration
		outcomes []string
	}{
		"all answer":                         {ways: map[string]way{"a": soon, "b": soon}, answered: []string{"a", "b"}, calls: []string{"a"}, took: roundTrip, outcomes: []string{metrics.FetchTaken}},
		"the first is silent":                {ways: map[string]way{"b": soon}, answered: []string{"a", "b"}, calls: []string{"a", "b"}, took: delay + roundTrip, outcomes: []string{metrics.FetchTaken, metrics.FetchFailed}},
		"two are silent":                     {ways: map[string]way{"c": soon}, answered: []string{"a", "b", "c"}, calls: []string{"a", "b", "c"}, took: 2*delay + roundTrip, outcomes: []string{metrics.FetchTaken, metrics.FetchFailed, metrics.FetchFailed}},
		"a caller is silent, hubs answer":    {ways: map[string]way{"h": soon}, called: []string{"a", "b", "c"}, answered: []string{"h"}, calls: []string{"a", "h"}, took: delay + roundTrip, outcomes: []string{metrics.FetchTaken, metrics.FetchFailed}},
		"the first fails":                    {ways: map[string]way{"a": {after: roundTrip, err: io.EOF}, "b": soon}, answered: []string{"a", "b"}, calls: []string{"a", "b"}, took: 2 * roundTrip, outcomes: []string{metrics.FetchFailed, metrics.FetchTaken}},
		"the first has an older version":     {ways: map[string]way{"a": {after: roundTrip, version: 4}, "b": soon}, answered: []string{"a", "b"}, calls: []string{"a", "b"}, took: 2 * roundTrip, outcomes: []string{metrics.FetchFailed, metrics.FetchTaken}},
		"the first is late":                  {ways: map[string]way{"a": {after: 4 * delay, version: 5}, "b": soon}, answered: []string{"a", "b"}, calls: []string{"a", "b"}, took: delay + roundTrip, outcomes: []string{metrics.FetchTaken, metrics.FetchOld}},
		"an unknown round trip":              {ways: map[string]way{"b": soon}, answered: []string{"unknown", "b"}, calls: []string{"unknown", "b"}, took: configfetch.MaxDelay + roundTrip, outcomes: []string{metrics.FetchTaken, metrics.FetchFailed}},
		"a large one, 100 KB at 1 Mbit/s":    {ways: map[string]way{"a": {after: 800 * time.Millisecond, version: 5}, "b": soon}, answered: []string{"a", "b"}, size: 100000, calls: []string{"a"}, took: 800 * time.Millisecond, outcomes: []string{metrics.FetchTaken}},
		"a large one that takes over 1 s":    {ways: map[string]way{"a": {after: 1700 * time.Millisecond, version: 5}}, answered: []string{"a"}, size: 100000, calls: []string{"a"}, took: 1700 * time.Millisecond, outcomes: []string{metrics.FetchTaken}},
		"all are silent: three at a time":    {answered: []string{"a", "b", "c", "d", "e"}, calls: []string{"a", "b", "c", "d", "e"}, outcomes: []string{metrics.FetchFailed, metrics.FetchFailed, metrics.FetchFailed, metrics.FetchFailed, metrics.FetchFailed}},
		"one that failed before comes again": {ways: map[string]way{"a": soon}, answered: []string{"a"}, calls: []string{"a"}, took: roundTrip, outcomes: []string{metrics.FetchTaken}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &boxes{ways: tt.ways, size: tt.size, version: 4}
				f := configfetch.New(b, b, 1, b.count, logs.New(io.Discard, "error", "box"))
				began := time.Now()
				for _, box := range tt.called {
					f.Announce(configfetch.Announcement{Box: box, Address: box, Version: 5})
				}
				for _, box := range tt.answered {
					f.Announce(configfetch.Announcement{Box: box, Address: box, Version: 5, Answered: true})
				}
				time.Sleep(5 * time.Second)
				synctest.Wait()
				is.Equal(b.calls, tt.calls)
				is.Equal(b.outcomes, tt.outcomes)
				if tt.took > 0 {
					is.Equal(b.version, 5)
					is.Equal(b.at.Sub(began), tt.took)
				}
			})
		})
	}
}

// TestLateAnswer guards against an answer that comes late and puts an older configuration in force.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &boxes{ways: map[string]way{"a": {after: 6 * delay, version: 5}, "b": {after: roundTrip, version: 6}}, version: 4}
		f := configfetch.New(b, b, 100, b.count, logs.New(io.Discard, "error", "box"))
		f.Announce(configfetch.Announcement{Box: "a", Address: "a", Version: 5, Answered: true})
		time.Sleep(2 * delay)
		f.Announce(configfetch.Announcement{Box: "b", Address: "b", Version: 6, Answered: true})
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(b.version, 6)
		is.Equal(b.applied, []int{6, 5})
		is.Equal(b.outcomes, []string{metrics.FetchTaken, metrics.FetchOld})
	})
}

// TestFailedComesLast guards against a box that is asked again and again although its fetches fail.
func TestFailedComesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &boxes{ways: map[string]way{"a": {after: roundTrip, err: io.EOF}, "b": {after: roundTrip, version: 9}}, version: 4}
		f := configfetch.New(b, b, 100, b.count, logs.New(io.Discard, "error", "box"))
		announce := func(version int, names ...string) {
			for _, box := range names {
				f.Announce(configfetch.Announcement{Box: box, Address: box, Version: version, Answered: true})
			}
		}
		announce(5, "a")
		time.Sleep(time.Second)
		synctest.Wait()
		b.ways["c"] = way{} // silent
		announce(5, "c", "a", "b")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(b.calls, []string{"a", "c", "b"})
		is.True(!slices.Contains(b.applied, 5))
		is.Equal(b.version, 9)
	})
}
