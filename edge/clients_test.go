package edge

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/protect/intake"
	"petrelstep/route"
	"petrelstep/wire"
)

// TestCallerBounds checks that the bounds of callers are those of the configuration in force,
// also after a change.
func TestCallerBounds(t *testing.T) {
	usual := intake.Bounds{HeaderBytes: 64 << 10, HeaderTime: 10 * time.Second, IdleTime: 90 * time.Second}
	for name, tt := range map[string]struct {
		limits []route.Limits // of the versions, in order
		want   intake.Bounds
	}{
		"no configuration":        {want: usual},
		"no limits":               {limits: []route.Limits{{BodyBytes: 4096}}, want: usual},
		"all limits":              {limits: []route.Limits{{HeaderBytes: 16384, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}}, want: intake.Bounds{HeaderBytes: 16384, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}},
		"more than usual":         {limits: []route.Limits{{HeaderBytes: 128 << 10, HeaderTime: 20 * time.Second, IdleTime: time.Hour}}, want: intake.Bounds{HeaderBytes: 128 << 10, HeaderTime: 20 * time.Second, IdleTime: time.Hour}},
		"changed":                 {limits: []route.Limits{{HeaderBytes: 16384, IdleTime: time.Minute}, {HeaderBytes: 8192, HeaderTime: time.Second}}, want: intake.Bounds{HeaderBytes: 8192, HeaderTime: time.Second, IdleTime: 90 * time.Second}},
		"taken away in a version": {limits: []route.Limits{{HeaderBytes: 16384}, {}}, want: usual},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counts, err := metrics.New()
			is.NoErr(err)
			e := New(config.Config{Settings: wire.Settings{
				Box: "b", Hall: "leith", Listen: wire.Listen{Peers: "b:1"}, Edge: &wire.Edge{MemoryMb: 128, Descriptors: 4096, KeyAgeMs: 5000},
			}}, logs.New(io.Discard, "info", "b"), counts)
			for version, limits := range tt.limits {
				e.routes.Update(route.New(version+1, nil, nil, nil, limits))
			}
			is.Equal(e.callerBounds(), tt.want)
		})
	}
}
