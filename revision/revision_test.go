package revision_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/revision"
)

// TestOrder guards against a version of a restored store that counts as older because its number is lower.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		older, newer revision.Revision
	}{
		"a later version":                     {older: revision.New(5, 7), newer: revision.New(5, 8)},
		"a lower version of a later era":      {older: revision.New(5, 900), newer: revision.New(6, 1)},
		"the same version of a later era":     {older: revision.New(5, 7), newer: revision.New(6, 7)},
		"a store that begins to name its era": {older: revision.New(0, 900), newer: revision.New(1, 1)},
		"the highest version of an era":       {older: revision.New(5, revision.MaxVersion), newer: revision.New(6, 0)},
		"the highest era":                     {older: revision.New(revision.MaxEra-1, 7), newer: revision.New(revision.MaxEra, 1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).True(tt.older < tt.newer) })
	}
}

// TestParts checks that a revision holds its era and version.
func TestParts(t *testing.T) {
	tests := map[string]struct {
		era     int
		version int64
		text    string
	}{
		"no era":  {version: 12, text: "12"},
		"usual":   {era: 6, version: 4031, text: "6/4031"},
		"maximum": {era: revision.MaxEra, version: revision.MaxVersion, text: "32767/281474976710655"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := revision.New(tt.era, tt.version)
			is.Equal(r.Era(), tt.era)
			is.Equal(r.Version(), tt.version)
			is.Equal(r.String(), tt.text)
		})
	}
}
