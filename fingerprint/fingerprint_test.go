package fingerprint_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"petrelstep/fingerprint"
)

func of(parts ...string) fingerprint.Fingerprint {
	var raw [][]byte
	for _, p := range parts {
		raw = append(raw, []byte(p))
	}
	return fingerprint.New(raw...)
}

func TestNew(t *testing.T) {
	tests := map[string]struct {
		a, b fingerprint.Fingerprint
		same bool
	}{
		"the same":                        {of("council", "/x/", "body"), of("council", "/x/", "body"), true},
		"another body":                    {of("council", "/x/", "body"), of("council", "/x/", "Body"), false},
		"the last byte of a long body":    {of("council", string(bytes.Repeat([]byte("a"), 1<<20))), of("council", string(bytes.Repeat([]byte("a"), 1<<20-1))+"b"), false},
		"another caller":                  {of("council", "/x/", "body"), of("firm", "/x/", "body"), false},
		"the same bytes, split elsewhere": {of("council", "/x/", "body"), of("council", "/x/b", "ody"), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.a == tt.b, tt.same) })
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	f := of("council", "/x/", "body")
	again, err := fingerprint.Parse(f.String())
	is.NoErr(err)
	is.Equal(again, f)
	for _, text := range []string{"", "short", "no base64 at all!!!!!!"} {
		_, err := fingerprint.Parse(text)
		is.True(err != nil)
	}
}

// BenchmarkNew measures the cost per request; 10 KB are a long prompt.
func BenchmarkNew(b *testing.B) {
	body := bytes.Repeat([]byte("a"), 10<<10)
	b.ReportAllocs()
	for b.Loop() {
		fingerprint.New([]byte("council"), []byte("/x/"), body)
	}
}
