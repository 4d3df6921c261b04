package counts

import "time"

// Result is how a request at an upstream ended.
type Result struct {
	// Failed says that the upstream failed it: an error status of its own, an answer
	// that was cut off, or none in time.
	Failed bool
	// Canceled says that it was ended from this side, so that it is neither good nor bad.
	Canceled bool
	// First is the time to the first event, or to the whole answer if it is no stream; 0
	// if none came.
	First time.Duration
	// Pace is the mean time between the events of a stream; 0 if unknown.
	Pace time.Duration
	// Cold says that the upstream was cold when the request was sent.
	Cold bool
	// Streaming says that the first event came and the answer goes on, perhaps for longer
	// than the roll-out. First counts now, and Pace if it is known already; neither counts
	// again when the stream ends. One that fails then counts as failed too.
	Streaming bool
}
