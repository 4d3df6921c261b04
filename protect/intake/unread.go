package intake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes bounds what the kernel holds of a connection that is not read. The
	// kernel doubles it for its own data. It lets through 20 Mbit/s over 25 ms.
	receiveBufferBytes = 64 << 10
	// maxReadAhead is how many bytes a client may send before the answer to its request.
	maxReadAhead = 32 << 10
)

// plain returns the connection below TLS.
func plain(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// limitUnread limits the bytes that arrive and are not read.
func limitUnread(c net.Conn) {
	if b, ok := plain(c).(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = b.SetReadBuffer(receiveBufferBytes) // fails only if the connection has ended
	}
}

// unread returns the bytes that have arrived and are not read; 0 if that is not known.
func unread(c net.Conn) (bytes int) {
	s, ok := plain(c).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}
