package route_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/route"
)

func TestMatch(t *testing.T) {
	table := route.New(3, []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, []route.Organisation{{Name: "o", Keys: []string{"k1", "k2"}}}, route.Limits{})
	tests := map[string]struct{ host, path, want string }{
		"longest":        {"a.example", "/x/y/z", "long"},
		"shorter":        {"a.example", "/x/z", "short"},
		"slash matters":  {"a.example", "/xy", "all"},
		"other host":     {"b.example", "/x/y/z", "other"},
		"no prefix":      {"b.example", "/y", ""},
		"no host":        {"c.example", "/x/", ""},
		"prefix, no end": {"b.example", "/x", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := table.Match(tt.host, tt.path)
			is.Equal(ok, tt.want != "")
			is.Equal(r.Name, tt.want)
		})
	}
	is := is.New(t)
	o, ok := table.Organisation("k2")
	is.True(ok && o.Name == "o")
	_, ok = table.Organisation("")
	is.True(!ok)
}
