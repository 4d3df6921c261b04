// Package capacity divides a box's memory and file descriptors among its clients.
package capacity

const (
	// RequestBytes is the memory of a request that is being served, with its connections.
	RequestBytes = 102 << 10
	// memoryPercent is the percentage of a box's memory in the account of its clients. The rest
	// is for the process itself and for memory that is not collected yet.
	memoryPercent = 50
	// connectionsPercent is the percentage of the account for connections without a complete
	// request, arrivingPercent that for their heads and small bodies, largePercent that for
	// large bodies. Requests that are being served may use all that is left.
	connectionsPercent = 15
	arrivingPercent    = 15
	largePercent       = 25
	// reservedDescriptors are not used for callers and their requests: files, other boxes, the
	// store, the balancer, operators, and the box's own calls.
	reservedDescriptors = 400
	// requestDescriptors are those of a request: the caller's and the upstream's connection.
	requestDescriptors = 2
)

// Capacity is what a box has for its clients. Values are immutable.
type Capacity struct {
	memory   int64
	requests int
	callers  int
}

// New returns the capacity of a box with some memory, in MiB, and descriptors.
func New(memoryMB float64, descriptors int) Capacity {
	c := Capacity{memory: int64(memoryMB * (1 << 20) * memoryPercent / 100)}
	free := max(descriptors-reservedDescriptors, requestDescriptors)
	c.requests = max(free/requestDescriptors, 1)
	c.callers = max(free-c.MaxRequests(0), 1)
	return c
}

// Memory returns the bytes in the account.
func (c Capacity) Memory() int64 { return c.memory }

// Connections returns the bytes that connections without a complete request may use.
func (c Capacity) Connections() int64 { return c.memory * connectionsPercent / 100 }

// Arriving returns the bytes that heads and small bodies may use.
func (c Capacity) Arriving() int64 { return c.memory * arrivingPercent / 100 }

// Large returns the bytes that large bodies may use.
func (c Capacity) Large() int64 { return c.memory * largePercent / 100 }

// Requests returns how many requests the descriptors allow at once.
func (c Capacity) Requests() int { return c.requests }

// Callers returns how many connections of callers the descriptors allow.
func (c Capacity) Callers() int { return c.callers }

// MaxRequests returns how many requests without large bodies can be served at once while held
// bytes of the account are in use otherwise.
func (c Capacity) MaxRequests(held int) int {
	return max(min(int(c.memory-int64(held))/RequestBytes, c.requests), 1)
}
