package memory

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// HeldShare is the share of a process's memory that the budget may hold. The rest is
	// for control state, code and garbage that is not collected yet.
	HeldShare = 0.3
	// ceilingShare is the share of the limit that is never exceeded by what connections add,
	// those included that are being closed to make room.
	ceilingShare = 1.5
	// RuntimeShare is the share of a process's memory at which the runtime collects
	// garbage more often.
	RuntimeShare = 0.75
	// ExchangeBytes is what an open request holds besides its bodies: the stacks of its
	// goroutines, the buffers of its two connections and its header.
	ExchangeBytes = 24 << 10
	// ConnectionBytes is what an open connection holds besides the head that is read: the stack
	// of its goroutine and its buffers.
	ConnectionBytes = 16 << 10
	// ReceiveBufferBytes is the receive buffer that the kernel is asked for on an accepted
	// connection, WideReceiveBufferBytes that of one on which a long body is streamed.
	ReceiveBufferBytes     = 16 << 10
	WideReceiveBufferBytes = 128 << 10
	// receivedShare is the most that the kernel keeps of a connection, in receive buffers.
	receivedShare = 1.5
	// UnreadBytes is held while a connection has a request, which may leave bytes unread, and
	// WideUnreadBytes more while its receive buffer is wide.
	UnreadBytes     = ReceiveBufferBytes * receivedShare
	WideUnreadBytes = (WideReceiveBufferBytes - ReceiveBufferBytes) * receivedShare
	// headerLineBytes is what a line of a head holds once it is parsed, besides its text.
	headerLineBytes = 200
	// headTextCopies is how often the text of a head is held while it is parsed.
	headTextCopies = 2
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
	// Heads are connections and the heads that are read on them. They have more room than
	// requests, so that a request that is not admitted gets an answer.
	Heads Use = 1.2
)

// HeadBytes returns what a part of a request head holds while it is read and once it is parsed.
func HeadBytes(text []byte) int {
	return headTextCopies*len(text) + headerLineBytes*bytes.Count(text, []byte{'\n'})
}

// CopiedFieldsBytes returns what a copy of the header fields of a request holds beyond the part
// that ExchangeBytes covers.
func CopiedFieldsBytes(fields map[string][]string) int {
	const covered = 4 << 10
	size := 0
	for name, values := range fields {
		for _, v := range values {
			size += headTextCopies*(len(name)+len(v)) + headerLineBytes
		}
	}
	return max(0, size-covered)
}

// ErrExhausted reports that the budget has no room.
var ErrExhausted = errors.New("the memory budget is exhausted")

// Budget counts the bytes that are held, and limits them. Its methods may be called from
// several goroutines. A nil Budget has no limit.
type Budget struct {
	limit      int64
	used, peak atomic.Int64
	// reclaimed is the part of used whose holders are being closed to make room.
	reclaimed atomic.Int64
	// onExhausted is called when bytes find no room under a limit. It may call Reclaim.
	onExhausted func(bytes, limit int64)
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

// OnExhausted sets a function that is called when bytes find no room under a limit, and that may
// call Reclaim to make some. It must be set before the budget is used.
func (b *Budget) OnExhausted(f func(bytes, limit int64)) { b.onExhausted = f }

// Reclaim counts n bytes as free that their holders still have to release; after the release it
// must be called with -n. A nil Budget ignores it.
func (b *Budget) Reclaim(n int64) {
	if b != nil {
		b.reclaimed.Add(n)
	}
}

// Missing returns how many bytes must become free so that n bytes find room under a limit.
func (b *Budget) Missing(n, limit int64) int64 { return b.used.Load() - b.reclaimed.Load() + n - limit }

// addOrReclaim adds n bytes like add. If there is no room, it asks for some once.
func (b *Budget) addOrReclaim(n, limit int64) bool {
	if b.add(n, limit) {
		return true
	}
	if b.onExhausted == nil {
		return false
	}
	b.onExhausted(n, limit)
	return b.add(n, limit)
}

// add changes the number of held bytes by n, and returns false without a change if they
// would exceed the limit.
func (b *Budget) add(n, limit int64) bool {
	ceiling := int64(float64(b.limit) * ceilingShare)
	for {
		used := b.used.Load()
		if used-b.reclaimed.Load()+n > limit || used+n > ceiling {
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
	// account also counts the bytes, nil if nobody else does.
	account *atomic.Int64
}

// Hold returns an empty holding whose bytes are also counted in the account.
func (b *Budget) Hold(account *atomic.Int64) Holding { return Holding{budget: b, account: account} }

// Admit returns the holding of a new request, with ExchangeBytes in it. It returns false
// if the request must be rejected.
func (b *Budget) Admit() (Holding, bool) {
	if b == nil {
		return Holding{}, true
	}
	if !b.addOrReclaim(ExchangeBytes, b.limit) {
		return Holding{}, false
	}
	return Holding{budget: b, bytes: ExchangeBytes}, true
}

// Attribute makes the account count the bytes of the holding, the present ones included. It is
// called once at most; nil means no account.
func (h *Holding) Attribute(account *atomic.Int64) {
	h.account = account
	h.count(h.bytes)
}

// count adds to the account.
func (h *Holding) count(n int64) {
	if h.account != nil {
		h.account.Add(n)
	}
}

// Grow adds n bytes and returns false without a change if the budget has no room for this
// use.
func (h *Holding) Grow(n int, u Use) bool {
	if h.budget == nil || n == 0 {
		return true
	}
	limit, add := int64(float64(h.budget.limit)*float64(u)), h.budget.addOrReclaim
	if u == Responses {
		// Responses can be streamed instead.
		add = h.budget.add
	}
	if !add(int64(n), limit) {
		return false
	}
	h.bytes += int64(n)
	h.count(int64(n))
	return true
}

// Add adds n bytes that are held already, also beyond the limit. New requests are then
// rejected for longer.
func (h *Holding) Add(n int) {
	if h.budget != nil {
		h.budget.updatePeak(h.budget.used.Add(int64(n)))
		h.bytes += int64(n)
		h.count(int64(n))
	}
}

// Since returns how many bytes were added since the holding was equal to before.
func (h *Holding) Since(before Holding) int { return int(h.bytes - before.bytes) }

// Shrink takes n bytes away.
func (h *Holding) Shrink(n int) {
	if h.budget != nil {
		h.budget.used.Add(-int64(n))
		h.bytes -= int64(n)
		h.count(-int64(n))
	}
}

// ShrinkTo takes away what exceeds n bytes.
func (h *Holding) ShrinkTo(n int) { h.Shrink(max(0, int(h.bytes)-n)) }

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
