// Package serve serves calls of other boxes by net/rpc.
package serve

import (
	"context"
	"net"
	"net/rpc"
	"sync"
)

// Name is the endpoint's name on the wire.
const Name = "Peer"

// Serve serves an endpoint's methods to the connections of a listener until ctx
// ends.
func Serve(ctx context.Context, endpoint any, listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(Name, endpoint); err != nil {
		return err
	}
	open := &connections{all: map[net.Conn]bool{}}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		open.closeAll()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !open.add(conn) {
			continue
		}
		go func() {
			server.ServeConn(conn)
			open.remove(conn)
		}()
	}
}

type connections struct {
	mu     sync.Mutex
	all    map[net.Conn]bool
	closed bool
}

func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.all[conn] = true
	return true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, conn)
	_ = conn.Close()
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.all {
		_ = conn.Close()
	}
}
