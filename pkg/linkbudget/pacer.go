package linkbudget

import (
	"context"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxChunk bounds the bytes that pass at once, so that a short body waits for
// one chunk of a long one at most.
const maxChunkBytes = 32 << 10

type direction struct{ from, to model.Region }

// link paces one direction of a region pair.
type link struct {
	total bucket
	long  bucket
}

// Pacer paces the bodies of one instance. It is safe for use by several
// goroutines.
type Pacer struct {
	now func() model.Time

	mu      sync.Mutex
	version model.Version
	links   map[direction]*link
}

// NewPacer returns a pacer that lets everything pass until it is configured.
func NewPacer(now func() model.Time) *Pacer {
	return &Pacer{now: now, links: map[direction]*link{}}
}

// Configure sets the shares of the instance.
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

// Wait returns when n bytes of a body may cross from one region to another. It
// returns early with the context's error when that ends.
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

func (p *Pacer) waitChunk(ctx context.Context, d direction, class model.Class, n int) error {
	if class == model.Long {
		// Long bodies first wait for their part, so that they queue there and not
		// before short ones.
		if err := sleep(ctx, p.take(d, n, true)); err != nil {
			return err
		}
	}
	return sleep(ctx, p.take(d, n, false))
}

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
