package sse_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/sse"
)

func TestNext(t *testing.T) {
	tests := map[string]struct {
		in   string
		want []sse.Event
		end  error
	}{
		"token":           {"id: 3\ndata: \"a\"\n\n", []sse.Event{{ID: 3, Data: []byte(`"a"`)}}, io.EOF},
		"named":           {"event: end\ndata: {}\n\n", []sse.Event{{Name: "end", ID: -1, Data: []byte("{}")}}, io.EOF},
		"carriage return": {"id: 0\r\ndata: x\r\n\r\n", []sse.Event{{ID: 0, Data: []byte("x")}}, io.EOF},
		"no space":        {"id:1\ndata:x\n\n", []sse.Event{{ID: 1, Data: []byte("x")}}, io.EOF},
		"comment":         {": hello\n\nid: 1\ndata: x\n\n", []sse.Event{{ID: -1}, {ID: 1, Data: []byte("x")}}, io.EOF},
		"blank lines":     {"\n\n\nid: 1\ndata: x\n\n", []sse.Event{{ID: 1, Data: []byte("x")}}, io.EOF},
		"cut in event":    {"id: 1\ndata: x\n", nil, io.ErrUnexpectedEOF},
		"cut in line":     {"id: 1\nda", nil, io.ErrUnexpectedEOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := sse.New(strings.NewReader(tt.in))
			for _, want := range tt.want {
				got, err := r.Next()
				is.NoErr(err)
				is.Equal(got.Name, want.Name)
				is.Equal(got.ID, want.ID)
				is.Equal(string(got.Data), string(want.Data))
			}
			_, err := r.Next()
			is.Equal(err, tt.end)
		})
	}
}

func TestBadFormat(t *testing.T) {
	tests := map[string]string{
		"id is not a number": "id: x\n\n",
		"id negative":        "id: -1\n\n",
		"id huge":            "id: 99999999999999999999\n\n",
		"event too long":     strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300),
		"line too long":      "data: " + strings.Repeat("x", 70_000) + "\n\n",
	}
	for name, in := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := sse.New(strings.NewReader(in)).Next()
			_, ok := err.(*sse.FormatError)
			is.True(ok)
		})
	}
}

// FuzzNext guards against panics on invalid input, and checks that events survive being
// written and read again.
func FuzzNext(f *testing.F) {
	f.Add([]byte("event: start\ndata: {}\n\nid: 0\ndata: \"a\"\n\n"))
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\n: c\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := sse.New(bytes.NewReader(in))
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if e.ID < 0 || e.Name != "" {
				continue
			}
			again, err := sse.New(bytes.NewReader(sse.AppendToken(nil, e.ID, e.Data))).Next()
			if err != nil || again.ID != e.ID || !bytes.Equal(again.Data, bytes.TrimRight(e.Data, "\r")) && !bytes.Equal(again.Data, bytes.TrimPrefix(e.Data, []byte(" "))) {
				t.Fatalf("%q became %q: %v", e.Data, again.Data, err)
			}
		}
	})
}
