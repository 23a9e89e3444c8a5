package memory_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/memory"
)

// budgetOf returns a budget with the given limit.
func budgetOf(limit int64) *memory.Budget {
	b := memory.NewBudget(int64(float64(limit)/memory.HeldShare) + 1)
	Expect(b.Limit()).To(Equal(limit))
	return b
}

// Many goroutines at once must not hold more than the limit, and everything must be given
// back.
func TestBudgetHoldsAtManyGoroutines(t *testing.T) {
	RegisterTestingT(t)
	b := budgetOf(1 << 20)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			for range 200 {
				h, ok := b.Admit()
				if !ok {
					continue
				}
				h.Grow(20<<10, memory.Responses)
				h.Grow(40<<10, memory.Requests)
				h.Release()
			}
		})
	}
	wg.Wait()
	Expect(b.Used()).To(BeZero())
	Expect(b.Peak()).To(And(BeNumerically(">", 0), BeNumerically("<=", b.Limit())))
}

// Large responses must not keep new requests out, and requests that are open must not keep
// new ones out by their bodies.
func TestEachUseOfTheBudgetLeavesRoomForTheNext(t *testing.T) {
	RegisterTestingT(t)
	b := budgetOf(1 << 20)
	h, ok := b.Admit()
	Expect(ok).To(BeTrue())
	for h.Grow(1<<10, memory.Responses) {
	}
	Expect(b.Used()).To(BeNumerically("~", 1<<19, 1<<10))
	for h.Grow(1<<10, memory.Requests) {
	}
	Expect(b.Used()).To(BeNumerically("~", 3<<18, 1<<10))
	held := []memory.Holding{h}
	for {
		h, ok := b.Admit()
		if !ok {
			break
		}
		held = append(held, h)
	}
	Expect(len(held)).To(BeNumerically(">=", (1<<18)/memory.ExchangeBytes))
	Expect(b.Used()).To(BeNumerically("<=", b.Limit()))
	held[1].Add(1 << 20)
	Expect(b.Used()).To(BeNumerically(">", b.Limit()))
	for i := range held {
		held[i].Release()
	}
	Expect(b.Used()).To(BeZero())
}

// The data that was read must be returned whole, whatever ended the read, and its buffer
// must be counted.
func TestReadUpToReturnsWhatWasRead(t *testing.T) {
	RegisterTestingT(t)
	data := bytes.Repeat([]byte("0123456789"), 3000)
	for _, expected := range []int64{-1, int64(len(data)), 5, 1 << 40} {
		for _, size := range []int{0, 1, 511, 512, 513, len(data)} {
			b := budgetOf(1 << 20)
			h, _ := b.Admit()
			got, err := h.ReadUpTo(iotest.HalfReader(bytes.NewReader(data[:size])), memory.Responses, len(data), expected)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(data[:size]))
			Expect(b.Used()).To(BeNumerically(">=", memory.ExchangeBytes+size))
		}
	}
	h, _ := budgetOf(1 << 20).Admit()
	got, err := h.ReadUpTo(bytes.NewReader(data), memory.Responses, 100, -1)
	Expect(err).To(MatchError(io.ErrShortBuffer))
	Expect(got).To(Equal(data[:101]))
	b := budgetOf(memory.ExchangeBytes * 5 / 2)
	h, _ = b.Admit()
	got, err = h.ReadUpTo(bytes.NewReader(data), memory.Responses, len(data), -1)
	Expect(err).To(MatchError(memory.ErrExhausted))
	Expect(got).To(Equal(data[:len(got)]))
	Expect(len(got)).To(BeNumerically(">=", 512))
	Expect(b.Used()).To(BeNumerically("<=", b.Limit()))
	broken := errors.New("broken")
	got, err = h.ReadUpTo(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), memory.Responses, 10, -1)
	Expect(err).To(MatchError(broken))
	Expect(got).To(BeEquivalentTo("abc"))
}

// Without a setting nothing is limited.
func TestNilBudgetHasNoLimit(t *testing.T) {
	RegisterTestingT(t)
	var b *memory.Budget
	h, ok := b.Admit()
	Expect(ok).To(BeTrue())
	Expect(h.Grow(1<<40, memory.Responses)).To(BeTrue())
	h.Add(1)
	h.Release()
}

// Guards against a request that is rejected because it needs no more bytes than it has while the
// budget is beyond the share for its use.
func TestNothingAlwaysFindsRoom(t *testing.T) {
	RegisterTestingT(t)
	b := budgetOf(memory.ExchangeBytes)
	h, ok := b.Admit()
	Expect(ok).To(BeTrue())
	Expect(h.Grow(0, memory.Requests)).To(BeTrue())
	Expect(h.Grow(1, memory.Requests)).To(BeFalse())
}

// Guards against room that is made for bytes that then find none, and against bytes that count as
// free for longer than until they are released.
func TestReclaimedBytesMakeRoomUntilTheyAreReleased(t *testing.T) {
	RegisterTestingT(t)
	b := budgetOf(1 << 20)
	var account atomic.Int64
	victim := b.Hold(&account)
	Expect(victim.Grow(900<<10, memory.Heads)).To(BeTrue())
	Expect(account.Load()).To(BeEquivalentTo(900 << 10))
	b.OnExhausted(func(bytes, limit int64) {
		if b.Missing(bytes, limit) > 0 {
			b.Reclaim(account.Load())
		}
	})
	other := b.Hold(nil)
	Expect(other.Grow(400<<10, memory.Requests)).To(BeTrue())
	Expect(other.Grow(300<<10, memory.Requests)).To(BeFalse(), "what is held never exceeds the limit by more than half")
	victim.Release()
	b.Reclaim(-900 << 10)
	Expect(other.Grow(300<<10, memory.Requests)).To(BeTrue())
	other.Release()
	Expect(b.Used()).To(BeZero())
}
