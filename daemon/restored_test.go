package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallRestoredDaemon guards against a call that runs twice when the store has lost its record:
// at a daemon that starts after the restore, as it cannot learn of it.
func TestCallRestoredDaemon(t *testing.T) {
	tests := map[string]struct {
		restart bool // the other box starts after the restore
		times   int  // that the store is restored
	}{
		"other box runs":        {times: 1},
		"other box starts":      {times: 1, restart: true},
		"other box starts, two": {times: 2, restart: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { playRestoredCall(t, tt.times, tt.restart) })
	}
}

func playRestoredCall(t *testing.T, times int, restart bool) {
	is := is.New(t)
	s := newCluster(t, 2, engines(1, 8))
	old := s.Platform.Copy()
	is.Equal(callOnce(s, 0, "k"), "done")
	if restart {
		s.Kill(1)
	}
	for range times {
		s.Platform.Suspend()
		s.Platform.Restore(old)
	}
	if restart {
		is.NoErr(s.StartBox(1))
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && callOnce(s, 1, "k") != "unknown"; {
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(callOnce(s, 1, "k"), "unknown")
	is.Equal(runCount(s, "k"), 1)
	is.True(s.Await(func() bool { return callOnce(s, 0, "k") == "unknown" }))
	is.True(s.Await(func() bool { return callOnce(s, 0, "other") == "done" }))
	is.Equal(runCount(s, "other"), 1)
}
