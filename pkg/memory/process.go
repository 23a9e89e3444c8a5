package memory

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// ProcessBytes returns the memory of a process in bytes: the configured one or, if that is
// 0, the memory of the machine. It returns 0 if neither is known.
func ProcessBytes(configured int64) int64 {
	if configured > 0 {
		return configured
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	total := uint64(info.Totalram) * uint64(info.Unit)
	return int64(min(total, math.MaxInt64))
}

// LimitRuntime makes the runtime collect garbage more often when the process uses
// RuntimeShare of its memory.
func LimitRuntime(processMemory int64) {
	if processMemory > 0 {
		debug.SetMemoryLimit(int64(float64(processMemory) * RuntimeShare))
	}
}
