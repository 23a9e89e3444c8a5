package linkbudget

import (
	"context"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxChunkBytes is the largest part of a body for which tokens are taken at once.
// Because long bodies are divided into such parts, a short body waits for at most
// one part of each long body, not for the rest of it.
const maxChunkBytes = 32 << 10

// direction is a pair of regions together with the direction in which bodies are
// sent.
type direction struct{ from, to model.Region }

// link limits the bytes per second of the bodies that this instance passes in one
// direction between two regions.
type link struct {
	// total limits the bodies of all classes together.
	total bucket
	// long is an additional limit for the long bodies: those of requests of the
	// class model.Long.
	long bucket
}

// Pacer limits the bytes per second of the request and response bodies that one
// instance passes between regions. Each direction between two regions has its own
// limit. A Pacer is safe for concurrent use.
type Pacer struct {
	now func() model.Time

	mu      sync.Mutex
	version model.Version
	links   map[direction]*link
}

// NewPacer returns a pacer that limits nothing until Configure is called. now
// returns the present time.
func NewPacer(now func() model.Time) *Pacer {
	return &Pacer{now: now, links: map[direction]*link{}}
}

// Configure sets the limits to the shares of the instance according to the
// configuration. It does nothing if the configuration is nil or its version is the
// one set last.
func (p *Pacer) Configure(c *model.Config, id model.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c == nil || c.Version == p.version {
		return
	}
	p.version = c.Version
	at := p.now()
	links := map[direction]*link{}
	for _, s := range Shares(c, id) {
		d := direction{s.From, s.To}
		l := p.links[d]
		if l == nil {
			l = &link{}
		}
		l.total.setRate(at, max(1, s.BytesPerSecond))
		l.long.setRate(at, max(1, s.LongBytesPerSecond))
		links[d] = l
	}
	p.links = links
}

// Wait blocks until n bytes of a body may be sent from one region to another. class
// is the class of the request. If the context ends earlier, Wait returns the
// context's error.
func (p *Pacer) Wait(ctx context.Context, from, to model.Region, class model.Class, n int) error {
	if from == to {
		return nil
	}
	for n > 0 {
		chunk := min(n, maxChunkBytes)
		n -= chunk
		if err := p.waitChunk(ctx, direction{from, to}, class, chunk); err != nil {
			return err
		}
	}
	return nil
}

// waitChunk does the same as Wait, but for at most maxChunkBytes.
func (p *Pacer) waitChunk(ctx context.Context, d direction, class model.Class, n int) error {
	if class == model.Long {
		// A long body first waits for tokens of the bucket for long bodies.
		// Otherwise it would take tokens of the bucket for all bodies in advance,
		// and short bodies would have to wait until these tokens have been added.
		if err := sleep(ctx, p.take(d, n, true)); err != nil {
			return err
		}
	}
	return sleep(ctx, p.take(d, n, false))
}

// take deducts n tokens in the given direction: from the bucket for long bodies if
// long is true, else from the bucket for all bodies. It returns how long to wait
// before the n bytes are sent, 0 if the direction has no limit.
func (p *Pacer) take(d direction, n int, long bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[d]
	switch {
	case l == nil:
		return 0
	case long:
		return l.long.take(p.now(), n)
	}
	return l.total.take(p.now(), n)
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
