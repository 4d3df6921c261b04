package platform_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/platform/store"
	"petrelstep/revision"
	"petrelstep/standin/platform"
	"petrelstep/standin/storegate"
	"petrelstep/wire"
)

// TestRestored checks the rows of a store that came back from a copy, and those written again.
func TestRestored(t *testing.T) {
	row := func(table, key, value string) store.Row {
		return store.Row{Table: table, Key: key, Value: []byte(value)}
	}
	tests := map[string]struct {
		before  func(p *platform.Platform) // the copy is taken
		lost    func(p *platform.Platform) // between the copy and the restore
		after   func(p *platform.Platform) // before what was lost is written again
		table   string
		copied  string // the table's rows after the restore
		lacking int    // rows to be written again
		whole   string // the table's rows once they are
	}{
		"nothing was written": {before: func(p *platform.Platform) { p.Put(row("op", "config", "1")) }, table: "op", copied: "config=1", whole: "config=1"},
		"the operator's row":  {before: func(p *platform.Platform) { p.Put(row("op", "config", "1")) }, lost: func(p *platform.Platform) { p.Put(row("op", "config", "2")) }, table: "op", copied: "config=1", lacking: 1, whole: "config=2"},
		"an entry is added":   {lost: func(p *platform.Platform) { p.Put(row("servers", "a", "1")) }, table: "servers", lacking: 1, whole: "a=1"},
		"an entry is removed": {before: func(p *platform.Platform) { p.Put(row("servers", "a", "1")) }, lost: func(p *platform.Platform) { p.Withdraw("a") }, table: "servers", copied: "a=1", lacking: 1},
		"added and removed":   {lost: func(p *platform.Platform) { p.Put(row("servers", "a", "1")); p.Withdraw("a") }, table: "servers"},
		"written anew before it is written again": {
			before: func(p *platform.Platform) { p.Put(row("op", "config", "1")) }, lost: func(p *platform.Platform) { p.Put(row("op", "config", "2")) },
			after: func(p *platform.Platform) { p.Put(row("op", "config", "3")) }, table: "op", copied: "config=1", lacking: 1, whole: "config=3",
		},
		"the system's row": {
			lost: func(p *platform.Platform) {
				transact(t, client(t, p), store.Transaction{Put: []store.Row{row("own", "a", "1")}})
			},
			table: "own",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := platform.New(platform.Options{})
			for _, do := range []*func(*platform.Platform){&tt.before, &tt.lost, &tt.after} {
				if *do == nil {
					*do = func(*platform.Platform) {}
				}
			}
			tt.before(p)
			c := p.Copy()
			tt.lost(p)
			p.Restore(c)
			is.Equal(tableOf(t, p, tt.table), tt.copied)
			lost := p.Lost()
			is.Equal(len(lost), tt.lacking)
			tt.after(p)
			for _, r := range lost {
				p.Rewrite(r)
			}
			is.Equal(tableOf(t, p, tt.table), tt.whole)
			is.Equal(len(p.Lost()), 0)
		})
	}
}

// TestRestoredFeed checks what a reader of the feed gets that goes on from a version after a
// restore from a copy of version 2, by the number of rows written since.
func TestRestoredFeed(t *testing.T) {
	tests := map[string]struct {
		from    int64
		written int
		status  int
		keys    string // of the changes that are answered
	}{
		"from before the copy":             {from: 1, status: http.StatusOK, keys: `"b"`},
		"from the copy":                    {from: 2, written: 1, status: http.StatusOK, keys: `"new0"`},
		"from a lost version":              {from: 3, status: http.StatusGone},
		"just above the last one":          {from: 5, written: 2, status: http.StatusGone},
		"from a version given out again":   {from: 3, written: 1, status: http.StatusOK},
		"past a version given out again":   {from: 3, written: 2, status: http.StatusOK, keys: `"new1"`},
		"from the last of the lost, again": {from: 4, written: 3, status: http.StatusOK, keys: `"new2"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := platform.New(platform.Options{})
			put := func(key string) { p.Put(store.Row{Table: "t", Key: key}) }
			put("a")
			put("b")
			c := p.Copy()
			put("lost3")
			put("lost4")
			p.Restore(c)
			for i := range tt.written {
				put("new" + string(rune('0'+i)))
			}
			status, era, body := get(t, p.Handler(), "/api/rows-feed?table=t&wait_ms=0&watch_after="+revision.New(0, tt.from).String())
			is.Equal(status, tt.status)
			is.Equal(era, "2")
			for _, key := range []string{`"b"`, `"lost3"`, `"lost4"`, `"new0"`, `"new1"`, `"new2"`} {
				is.Equal(strings.Contains(body, key), key == tt.keys)
			}
		})
	}
}

// TestEraInAnswers checks that all answers name the era, those that fail too.
func TestEraInAnswers(t *testing.T) {
	p := platform.New(platform.Options{})
	p.Forget()
	gate := storegate.New(p.Handler(), p.SetEra)
	tests := map[string]struct {
		path   string
		before func()
		status int
	}{
		"rows":             {path: "/api/rows-get?table=t", status: http.StatusOK},
		"a forgotten feed": {path: "/api/rows-feed?table=t&watch_after=0", status: http.StatusGone},
		"an unknown call":  {path: "/api/none", status: http.StatusNotFound},
		"a store that is down": {
			path: "/api/rows-get?table=t", status: http.StatusServiceUnavailable,
			before: func() { p.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown, Count: 1}) },
		},
		"a box that is turned away": {
			path: "/api/rows-get?table=t", status: http.StatusTooManyRequests,
			before: func() { gate.TurnAway(http.StatusTooManyRequests, time.Hour) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate.TurnAway(0, 0)
			if tt.before != nil {
				tt.before()
			}
			status, era, _ := get(t, gate, tt.path)
			is.Equal(status, tt.status)
			is.Equal(era, "1")
		})
	}
}

// TestSuspended checks that a store that is away resets calls and lets the operator wait, and
// that the return ends the feeds that wait.
func TestSuspended(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	s := client(t, p)
	rows, version, err := s.Rows(t.Context(), store.Range{Table: "op"})
	is.NoErr(err)
	is.Equal(len(rows), 0)
	ended := make(chan error)
	go func() {
		_, _, err := s.Feed(context.Background(), "op", version, time.Hour)
		ended <- err
	}()
	c := p.Copy()
	p.Suspend()
	is.True(<-ended != nil)
	_, _, err = s.Rows(t.Context(), store.Range{Table: "op"})
	is.True(err != nil)
	written := make(chan struct{})
	go func() {
		p.Put(store.Row{Table: "op", Key: "config", Value: []byte("1")})
		close(written)
	}()
	p.Restore(c)
	<-written
	is.Equal(tableOf(t, p, "op"), "config=1")
	_, _, err = s.Rows(t.Context(), store.Range{Table: "op"})
	var other *store.EraError
	is.True(errors.As(err, &other)) // one answer of another era is not believed
	_, restored, err := s.Rows(t.Context(), store.Range{Table: "op"})
	is.NoErr(err)
	is.Equal(restored.Era(), version.Era()+1)
}

func tableOf(t *testing.T, p *platform.Platform, table string) string {
	t.Helper()
	rows, _, err := client(t, p).Rows(t.Context(), store.Range{Table: table})
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, r := range rows {
		list = append(list, r.Key+"="+string(r.Value))
	}
	return strings.Join(list, " ")
}

func get(t *testing.T, h http.Handler, path string) (status int, era, body string) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	resp, err := http.Get(server.URL + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Store-Era"), string(raw)
}
