// Package heapsize measures how much memory a state takes, for benchmarks.
package heapsize

import "runtime"

// Used returns the bytes in use after a collection.
func Used() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
