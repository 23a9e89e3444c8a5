package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// HeldShare is the share of a process's memory that the budget may hold. The rest is
	// for control state, connections, code and garbage that is not collected yet.
	HeldShare = 0.3
	// RuntimeShare is the share of a process's memory at which the runtime collects
	// garbage more often.
	RuntimeShare = 0.75
	// ExchangeBytes is what an open request holds besides its bodies: the stacks of its
	// goroutines, the buffers of its two connections and its header.
	ExchangeBytes = 24 << 10
	// MaxRequestHeadBytes is the largest request line and header that a server reads. They
	// are read before the request is admitted.
	MaxRequestHeadBytes = 128 << 10
	// SmallCopyBytes is the size of a copy buffer that is part of ExchangeBytes.
	SmallCopyBytes = 4 << 10
)

// Use is what bytes are held for. Its value is the share of the budget up to which bytes
// may be added for it. New requests are admitted up to the whole budget, so that large
// responses, which can be streamed instead, do not keep them out.
type Use float64

// Uses of bytes.
const (
	// Responses are response bodies that are held until they are complete, and copy
	// buffers.
	Responses Use = 0.5
	// Requests are request bodies that are held so that they can be sent again.
	Requests Use = 0.75
)

// ErrExhausted reports that the budget has no room.
var ErrExhausted = errors.New("the memory budget is exhausted")

// Budget counts the bytes that are held, and limits them. Its methods may be called from
// several goroutines. A nil Budget has no limit.
type Budget struct {
	limit      int64
	used, peak atomic.Int64
}

// NewBudget returns a budget for a process with the given memory in bytes, nil if that is
// 0.
func NewBudget(processMemory int64) *Budget {
	if processMemory == 0 {
		return nil
	}
	return &Budget{limit: int64(float64(processMemory) * HeldShare)}
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are held now.
func (b *Budget) Used() int64 { return b.used.Load() }

// Peak returns the largest number of bytes that were held at the same time.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// add changes the number of held bytes by n, and returns false without a change if they
// would exceed the limit.
func (b *Budget) add(n, limit int64) bool {
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.updatePeak(used + n)
			return true
		}
	}
}

func (b *Budget) updatePeak(used int64) {
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); {
		peak = b.peak.Load()
	}
}

// Holding is what one request holds. Its methods are called by one goroutine at a time.
// The zero Holding belongs to no budget.
type Holding struct {
	budget *Budget
	bytes  int64
}

// Admit returns the holding of a new request, with ExchangeBytes in it. It returns false
// if the request must be rejected.
func (b *Budget) Admit() (Holding, bool) {
	if b == nil {
		return Holding{}, true
	}
	if !b.add(ExchangeBytes, b.limit) {
		return Holding{}, false
	}
	return Holding{budget: b, bytes: ExchangeBytes}, true
}

// Grow adds n bytes and returns false without a change if the budget has no room for this
// use.
func (h *Holding) Grow(n int, u Use) bool {
	if h.budget == nil {
		return true
	}
	if !h.budget.add(int64(n), int64(float64(h.budget.limit)*float64(u))) {
		return false
	}
	h.bytes += int64(n)
	return true
}

// Add adds n bytes that are held already, also beyond the limit. New requests are then
// rejected for longer.
func (h *Holding) Add(n int) {
	if h.budget != nil {
		h.budget.updatePeak(h.budget.used.Add(int64(n)))
		h.bytes += int64(n)
	}
}

// Since returns how many bytes were added since the holding was equal to before.
func (h *Holding) Since(before Holding) int { return int(h.bytes - before.bytes) }

// Shrink takes n bytes away.
func (h *Holding) Shrink(n int) {
	if h.budget != nil {
		h.budget.used.Add(-int64(n))
		h.bytes -= int64(n)
	}
}

// Release takes all bytes away.
func (h *Holding) Release() { h.Shrink(int(h.bytes)) }

// minReadBytes is the capacity with which ReadUpTo begins.
const minReadBytes = 512

// ReadUpTo reads r to its end, but at most limit bytes, into a buffer whose capacity is
// counted. If the budget has no room for the next bytes, it returns ErrExhausted with
// what was read; if r goes on after limit bytes, io.ErrShortBuffer. expected is the
// stated length of r, -1 if there is none.
func (h *Holding) ReadUpTo(r io.Reader, u Use, limit int, expected int64) ([]byte, error) {
	size := minReadBytes
	if expected >= 0 {
		size = int(min(expected+1, int64(limit)+1))
	}
	if !h.Grow(size, u) {
		return nil, ErrExhausted
	}
	data := make([]byte, 0, size)
	for {
		n, err := r.Read(data[len(data):min(cap(data), limit+1)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return data, io.ErrShortBuffer
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		case len(data) < cap(data):
			continue
		}
		added := min(cap(data), limit+1-cap(data))
		if !h.Grow(added, u) {
			return data, ErrExhausted
		}
		data = append(make([]byte, 0, cap(data)+added), data...)
	}
}
