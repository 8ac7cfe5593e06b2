// Package usage reads what the own process used of the machine.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is what the process used so far.
type Usage struct {
	// Processor is user and system time.
	Processor      time.Duration
	Allocations    uint64
	AllocatedBytes uint64
}

// Read returns the usage up to now.
func Read() Usage {
	var times syscall.Rusage
	// The call fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{
		Processor:      time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		Allocations:    memory.Mallocs,
		AllocatedBytes: memory.TotalAlloc,
	}
}

// Since returns what was used after an earlier reading.
func (u Usage) Since(before Usage) Usage {
	return Usage{
		Processor:      u.Processor - before.Processor,
		Allocations:    u.Allocations - before.Allocations,
		AllocatedBytes: u.AllocatedBytes - before.AllocatedBytes,
	}
}

// kilobyte is the unit of ru_maxrss.
const kilobyte = 1024

// PeakMemory returns the most memory the process has had resident, in bytes.
func PeakMemory() uint64 {
	var resources syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &resources)
	return uint64(resources.Maxrss) * kilobyte
}

// LiveMemory collects garbage and returns the bytes of live objects and
// goroutine stacks.
func LiveMemory() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc + memory.StackInuse
}
