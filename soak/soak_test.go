package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak"
	"petrelstep/soak/site"
)

// TestSeeds plays short runs of the real daemon. What is checked does not depend
// on how fast the machine is: no promise is broken, and all is served again in
// the end. A seed that ever failed stays here, with its cause.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	daemon := filepath.Join(t.TempDir(), "petrelstepd")
	if out, err := exec.Command("go", "build", "-o", daemon, "petrelstep/cmd/petrelstepd").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	tests := map[string]struct {
		seed uint64
		ends bool // workers end under a request
		need bool // workers name limits
		word bool // workers leave by their answers, and ask for rest
		last time.Duration
	}{
		"a first seed":                      {seed: 1, last: 6 * time.Second},
		"a second seed":                     {seed: 14, last: 6 * time.Second},
		"a request under which workers end": {seed: 3, ends: true, last: 6 * time.Second},
		"workers that name limits":          {seed: 5, need: true, last: 12 * time.Second},
		"workers that leave by their words": {seed: 7, word: true, last: 12 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally, err := soak.New(soak.Options{
				Site:          site.Options{Daemon: daemon, Dir: t.TempDir(), Boxes: 3, Engines: 4, Plain: 2},
				Seed:          tt.seed,
				Poison:        tt.ends,
				RateLimits:    tt.need,
				Announcements: tt.word,
				Callers:       12,
				Duration:      tt.last,
				Out:           t.Output(),
			}).Run(context.Background())
			is.NoErr(err)
			for _, b := range tally.Violations {
				t.Error(b)
			}
			is.True(tally.Served > 0)
		})
	}
}
