package linkbudget

import (
	"context"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxChunkBytes limits the bytes for which tokens are taken at once, so that a short
// body waits for at most one chunk of a long body.
const maxChunkBytes = 32 << 10

// direction is one direction of a region pair.
type direction struct{ from, to model.Region }

// link limits the rate in one direction of a region pair.
type link struct {
	// total limits all bodies together.
	total bucket
	// long limits the long bodies in addition.
	long bucket
}

// Pacer limits the rate of the bodies of one instance. It is safe for
// concurrent use.
type Pacer struct {
	now func() model.Time

	mu      sync.Mutex
	version model.Version
	links   map[direction]*link
}

// NewPacer returns a pacer without limits until it is configured.
func NewPacer(now func() model.Time) *Pacer {
	return &Pacer{now: now, links: map[direction]*link{}}
}

// Configure sets the rates to the shares of the instance in the configuration.
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

// Wait blocks until n bytes of a body may be sent from one region to another. If the
// context ends earlier, Wait returns the context's error.
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

// waitChunk is Wait for at most maxChunkBytes.
func (p *Pacer) waitChunk(ctx context.Context, d direction, class model.Class, n int) error {
	if class == model.Long {
		// Long bodies first wait in the bucket for long bodies, so that they
		// queue there instead of ahead of short bodies in the bucket for all.
		if err := sleep(ctx, p.take(d, n, true)); err != nil {
			return err
		}
	}
	return sleep(ctx, p.take(d, n, false))
}

// take deducts n tokens from the bucket for long bodies, or from that for all bodies
// if long is false. It returns how long to wait before the bytes are sent, 0 if the
// direction has no limit.
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
