// Package reset closes connections so that nothing that was sent on them arrives later.
package reset

import "net"

// Close closes a connection. A TCP connection is reset: what was not delivered yet is discarded,
// also by the network.
func Close(conn net.Conn) error {
	under := conn
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok { // as tls.Conn is
		under = wrapped.NetConn()
	}
	if tcp, ok := under.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	return conn.Close()
}
