package configwriter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/catchup"
	"petrelstep/configwriter"
	"petrelstep/platform/store"
	"petrelstep/platform/table"
	"petrelstep/resource"
	"petrelstep/standin/platform"
	"petrelstep/verify"
)

// TestConfigurationRestored guards against daemons with different configurations under one
// revision, as the restored store has given out the revisions of the lost seconds again.
func TestConfigurationRestored(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	newBox := func() *box {
		rows := table.New(store.New(strings.TrimPrefix(server.URL, "http://"), nil), time.Second)
		r := resource.New()
		c := catchup.New(rows, r)
		return &box{resources: r, catchUp: c, writer: configwriter.New(rows, verify.New(), r, c.Run)}
	}
	write := func(b *box, name, region string) {
		version := 0
		if _, ok := b.resources.View().Halls[name]; ok {
			version = 1
		}
		_, _ = b.writer.Write(t.Context(), hall(name, version, region)) // may conflict
	}
	before := newBox()
	for i := range 3 {
		write(before, fmt.Sprint("h", i), "r1")
	}
	copied := p.Copy()
	write(before, "h3", "r1")
	write(before, "h4", "r1")
	_ = before.catchUp.Run(t.Context())
	p.Suspend()
	p.Restore(copied)
	since := newBox()
	_ = since.catchUp.Run(t.Context())
	write(since, "h0", "r2")
	write(since, "h5", "r2")
	write(since, "h6", "r2")
	for range 5 {
		_ = before.catchUp.Run(t.Context())
		_ = since.catchUp.Run(t.Context())
	}
	is.Equal(before.resources.View().Halls["h0"].Region, since.resources.View().Halls["h0"].Region)
}
