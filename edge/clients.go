package edge

import (
	"cmp"
	"time"

	"petrelstep/protect/capacity"
	"petrelstep/protect/intake"
	"petrelstep/wire"
)

const (
	// defaultHeaderTime, defaultIdleTime and defaultHeaderBytes bound callers where the
	// configuration does not, and the clients of the other addresses.
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 90 * time.Second
	defaultHeaderBytes = 64 << 10
	// operatorConnections bounds the connections of the balancer, and those of operators.
	operatorConnections = 64
)

// newIntake returns the account of the memory and the connections of callers.
func (e *Edge) newIntake() *intake.Intake {
	i := intake.New(e.capacity(), e.heldBytes, e.metrics, e.log)
	if err := e.metrics.ObserveClients(i.Connections, i.Used); err != nil {
		e.log.WithError(err).Warn("clients_not_counted")
	}
	return i
}

// capacity returns what the box has for its clients.
func (e *Edge) capacity() capacity.Capacity {
	return capacity.New(e.config.Edge.MemoryMb, e.config.Edge.Descriptors)
}

// heldBytes returns the bytes that are buffered for slow readers and for other boxes.
func (e *Edge) heldBytes() int {
	held := e.tunnels.Count() * tunnelBytes
	if e.buffers != nil {
		held += e.buffers.Held()
	}
	return held
}

// full reports whether the box holds as many requests as its memory and file
// descriptors allow. Exceeding them would kill the box and every request on it.
func (e *Edge) full() bool { return e.intake.Full() }

// maxRequests returns the maximum number of concurrent requests for a box that has held
// bytes buffered for slow readers.
func maxRequests(s *wire.Edge, held int) int {
	return capacity.New(s.MemoryMb, s.Descriptors).MaxRequests(held)
}

// defaultBounds returns the bounds of clients that the configuration does not limit.
func defaultBounds() intake.Bounds {
	return intake.Bounds{HeaderBytes: defaultHeaderBytes, HeaderTime: defaultHeaderTime, IdleTime: defaultIdleTime}
}

// callerBounds returns the bounds of callers under the current configuration.
func (e *Edge) callerBounds() intake.Bounds {
	b := defaultBounds()
	table, _, _ := e.routes.Current(time.Now())
	if table == nil {
		return b
	}
	l := table.Limits()
	return intake.Bounds{
		HeaderBytes: cmp.Or(l.HeaderBytes, b.HeaderBytes), HeaderTime: cmp.Or(l.HeaderTime, b.HeaderTime), IdleTime: cmp.Or(l.IdleTime, b.IdleTime),
	}
}
