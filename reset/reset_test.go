package reset_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"petrelstep/reset"
)

// TestClose guards against a close in order, after which what was sent may still be delivered.
func TestClose(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	for name, tt := range map[string]struct {
		close func(net.Conn) error
		want  error
	}{
		"reset":    {reset.Close, syscall.ECONNRESET},
		"in order": {net.Conn.Close, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			far, err := listener.Accept()
			is.NoErr(err)
			defer far.Close()
			is.NoErr(tt.close(near))
			_, err = far.Read(make([]byte, 1))
			is.True(errors.Is(err, tt.want))
		})
	}
	near, far := net.Pipe()
	is.NoErr(reset.Close(near)) // another kind of connection
	_, err = far.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
