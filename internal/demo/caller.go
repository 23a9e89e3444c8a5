package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// caller sends the requests of one fake caller.
type caller struct {
	*fake.Caller
	name    string
	service service
	journal *fake.Journal
	rng     *rand.Rand
}

// run sends one request after the other until the context ends.
func (c *caller) run(ctx context.Context) []sent {
	var results []sent
	for n := 0; ctx.Err() == nil; n++ {
		to, err := c.Instance(ctx, c.service.name)
		if err != nil {
			continue
		}
		q := fake.Request{
			Service: c.service.name,
			Tenant:  model.Tenant(fmt.Sprintf("house-%d", c.rng.IntN(3))),
			Method:  c.service.method,
			Token:   fmt.Sprintf("%s/%d", c.name, n),
			Size:    c.service.bodySize,
		}
		if c.service.method == "GET" {
			results = append(results, c.send(ctx, to, q))
		} else {
			results = append(results, c.sendKeyed(ctx, to, q, n)...)
		}
		pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(thinkTime)))
	}
	return results
}

// sendKeyed sends a request with a key, and some again at another instance: at
// the same time, or after the answer.
func (c *caller) sendKeyed(ctx context.Context, to view.Instance, q fake.Request, n int) []sent {
	key, err := c.NewKey(ctx, q.Service, fmt.Sprintf("%016x", c.rng.Uint64()))
	if err != nil {
		return nil
	}
	q.Key = key
	another, err := c.Another(ctx, q.Service)
	if err != nil || n%resendEvery != 0 {
		return []sent{c.send(ctx, to, q)}
	}
	if n%(2*resendEvery) == 0 {
		first := c.send(ctx, to, q)
		return []sent{first, c.resend(ctx, another, q)}
	}
	second := make(chan sent)
	go func() { second <- c.resend(ctx, another, q) }()
	first := c.send(ctx, to, q)
	return []sent{first, <-second}
}

func (c *caller) resend(ctx context.Context, to view.Instance, q fake.Request) sent {
	s := c.send(ctx, to, q)
	s.resent = true
	return s
}

// send sends a request once and lets it finish when the context ends.
func (c *caller) send(ctx context.Context, to view.Instance, q fake.Request) sent {
	s := sent{
		service:   q.Service,
		token:     q.Token,
		repeat:    q.Method == "GET",
		keyed:     q.Key != "",
		instance:  to.ID,
		ranBefore: c.journal.Runs(q.Token) > 0,
	}
	start := time.Now()
	s.outcome, s.code = c.Do(context.WithoutCancel(ctx), to, q)
	s.took = time.Since(start)
	return s
}
