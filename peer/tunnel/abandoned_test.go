package tunnel_test

import (
	"context"
	"testing"

	"petrelstep/links"
	"petrelstep/peer"
	"petrelstep/peer/tunnel"
	"petrelstep/wire"
)

// lateReplies is a connection to another box on which the answer of a read arrives as it is given up.
type lateReplies struct{ read, written chan struct{} }

// Call implements tunnel.Caller.
func (c lateReplies) Call(ctx context.Context, _, method string, _, reply any) error {
	switch method {
	case peer.TunnelOpen:
		reply.(*wire.TunnelOpened).ID = 1
	case peer.TunnelRead:
		close(c.read)
		go func() {
			<-ctx.Done()
			reply.(*wire.TunnelData).Data = "late"
			close(c.written)
		}()
		<-ctx.Done()
		return &peer.Error{Method: method, Err: ctx.Err()}
	}
	return nil
}

// Forget implements tunnel.Caller.
func (lateReplies) Forget(string) {}

// TestAbandonedRead guards against a read that was given up and whose reply is used while it is still
// being decoded. Only the race detector sees it.
func TestAbandonedRead(t *testing.T) {
	for range 20 {
		c := lateReplies{make(chan struct{}), make(chan struct{})}
		conn, err := tunnel.NewClient(c, "b0", "").Open(t.Context(), "b1", links.Target{})
		if err != nil {
			t.Fatal(err)
		}
		<-c.read
		_ = conn.Close()
		<-c.written
	}
}
