package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"petrelstep/dialer"
	"petrelstep/links"
	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/peer/tunnel"
	"petrelstep/wire"
)

// tunnelAnswer answers calls to open a tunnel.
type tunnelAnswer struct {
	outcome string
	err     error
}

// Call implements tunnel.Caller.
func (a tunnelAnswer) Call(_ context.Context, _, _ string, _, reply any) error {
	*reply.(*wire.TunnelOpened) = wire.TunnelOpened{Outcome: a.outcome}
	return a.err
}

// Forget implements tunnel.Caller.
func (tunnelAnswer) Forget(string) {}

// TestTunnelRefused guards against a box that does not listen and is taken for an upstream that
// refuses connections.
func TestTunnelRefused(t *testing.T) {
	tests := map[string]struct {
		answer   tunnelAnswer
		answered bool
		refused  bool
	}{
		"the upstream refuses":         {tunnelAnswer{outcome: links.Refused}, true, true},
		"the upstream does not answer": {tunnelAnswer{outcome: links.TimedOut}, true, false},
		"the box does not listen": {tunnelAnswer{err: &peer.Error{
			Unreachable: true, Err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED},
		}}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newCluster(t, 2, 1, 1).all[0]
				e.tunnelClient = tunnel.NewClient(tt.answer, e.Name(), "")
				_, err := e.openTunnel(t.Context(), members.Box{Name: "b1", Address: "b1:1"}, links.Target{Upstream: "u1"})
				var answered *dialer.PeerError
				is.Equal(errors.As(err, &answered), tt.answered)
				is.Equal(answered != nil && answered.Refused, tt.refused)
			})
		})
	}
}
