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

const (
	// programBytes is what the program itself takes of the memory, which the runtime's limit
	// does not cover.
	programBytes = 16_000_000
	// unreadShare is the share of the memory that is set aside for bytes that the kernel has
	// received and the process has not read.
	unreadShare = 0.2
)

// LimitRuntime makes the runtime collect garbage more often when the process uses RuntimeShare
// of its memory, or what the program and unread bytes leave of it.
func LimitRuntime(processMemory int64) {
	if processMemory > 0 {
		available := int64(float64(processMemory)*(1-unreadShare)) - programBytes
		debug.SetMemoryLimit(max(processMemory/2, min(available, int64(float64(processMemory)*RuntimeShare))))
	}
}
