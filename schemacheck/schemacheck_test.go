package schemacheck_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/schemacheck"
	"petrelstep/wire"
)

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		in     string
		places []string // contained in the mistakes, in order
	}{
		"valid":          {`{"model":"m","prompt":"p"}`, nil},
		"unknown field":  {`{"model":"m","prompt":"p","x":1}`, []string{"x"}},
		"three mistakes": {`{"model":"M!","prompt":"","max_tokens":"many"}`, []string{"/max_tokens", "/model", "/prompt"}},
		"not an object":  {`[]`, []string{"/"}},
		"not JSON":       {`{`, []string{"not JSON"}},
		"enum":           {`{"model":"m","prompt":"p","deliver":"later"}`, []string{"/deliver"}},
	}
	checker := schemacheck.New("GenerationRequest")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var body wire.GenerationRequest
			err := checker.Decode([]byte(tt.in), &body)
			is.Equal(err != nil, tt.places != nil)
			if err == nil {
				is.Equal(body.MaxTokens, 32768) // the default
				return
			}
			var m *schemacheck.Mistakes
			is.True(errors.As(err, &m))
			is.Equal(len(m.Places), len(tt.places))
			for i, part := range tt.places {
				is.True(strings.Contains(m.Places[i], part))
			}
		})
	}
}

// FuzzDecode decodes arbitrary input of callers, operators and files: it never
// panics, and every error lists a mistake.
func FuzzDecode(f *testing.F) {
	checkers := []*schemacheck.Checker{schemacheck.New("GenerationRequest"), schemacheck.New("Resource"), schemacheck.New("Settings"), schemacheck.New("Upstream")}
	f.Add([]byte(`{"model":"m","prompt":"p"}`))
	f.Add([]byte(`{"kind":"Hall","name":"leith","spec":{"region":"r"}}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, c := range checkers {
			var v any
			err := c.Decode(in, &v)
			var m *schemacheck.Mistakes
			if err != nil && (!errors.As(err, &m) || len(m.Places) == 0) {
				t.Fatalf("%q: %v", in, err)
			}
		}
	})
}
