// Package heapsize measures the heap in use, for benchmarks.
package heapsize

import "runtime"

// Used returns the heap bytes in use after a garbage collection.
func Used() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
