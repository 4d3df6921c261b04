package verify_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/resource"
	"petrelstep/verify"
	"petrelstep/wire"
)

func res(kind wire.ResourceKind, name, spec string) wire.Resource {
	return wire.Resource{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

// view returns a configuration with one resource of most kinds.
func view() *resource.View {
	all := map[string]wire.Resource{}
	for _, r := range []wire.Resource{
		res("Hall", "leith", `{"region":"r"}`), res("Model", "m", `{}`), res("Adapter", "x", `{"model":"m"}`),
		res("Organisation", "o", `{"key_hashes":["k"],"models":["m"]}`),
		res("Placement", "p", `{"hall":"leith","model":"m","adapters":["x"],"replicas":1}`),
	} {
		all[resource.Key(r.Kind, r.Name)] = r
	}
	return resource.NewView(1, all)
}

func TestMistakes(t *testing.T) {
	removed := func(kind wire.ResourceKind, name string) wire.Resource {
		r := res(kind, name, `{}`)
		r.Removed = true
		return r
	}
	tests := map[string]struct {
		in     wire.Resource
		places []string
	}{
		"valid":                       {res("Upstream", "u", `{"role":"engine","hall":"leith","address":"127.0.0.1:1"}`), nil},
		"unknown kind":                {res("Colour", "u", `{}`), []string{"/kind"}},
		"two mistakes":                {res("Upstream", "u", `{"role":"oven","hall":"leith","address":"x"}`), []string{"/spec/address", "/spec/role"}},
		"hall not declared":           {res("Upstream", "u", `{"role":"engine","hall":"gorgie","address":"127.0.0.1:1"}`), []string{"/spec/hall"}},
		"service without name":        {res("Upstream", "u", `{"role":"service","hall":"leith","address":"127.0.0.1:1"}`), []string{"/spec/service"}},
		"model and hall missing":      {res("Placement", "q", `{"hall":"h","model":"n","replicas":1}`), []string{"/spec/hall", "/spec/model"}},
		"adapter of another model":    {res("Placement", "q", `{"hall":"leith","model":"m","adapters":["y"],"replicas":1}`), []string{"/spec/adapters"}},
		"adapter without model":       {res("Adapter", "y", `{"model":"n"}`), []string{"/spec/model"}},
		"organisation's model":        {res("Organisation", "q", `{"models":["n"]}`), []string{"/spec/models"}},
		"key of another organisation": {res("Organisation", "a", `{"key_hashes":["k"]}`), []string{"/spec/key_hashes"}},
		"remove a used model":         {removed("Model", "m"), []string{"Adapter x", "Placement p", "Organisation o"}},
		"remove a used hall":          {removed("Hall", "leith"), []string{"Placement p"}},
		"remove an unused placement":  {removed("Placement", "p"), nil},
		"remove a used adapter":       {removed("Adapter", "x"), []string{"Placement p"}},
	}
	v := verify.New()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := v.Mistakes(view(), tt.in)
			is.Equal(len(got), len(tt.places))
			for i, part := range tt.places {
				is.True(strings.Contains(got[i], part))
			}
		})
	}
}
