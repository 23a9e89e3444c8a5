package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/internal/latency"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// caller sends the requests of one fake caller.
type caller struct {
	*fake.Caller
	deployment *deployment.Deployment
	service    *deployment.Service
	rng        *rand.Rand
}

// run sends one request after the other until the context ends.
func (c *caller) run(ctx context.Context) []deployment.Result {
	var results []deployment.Result
	for n := 0; ctx.Err() == nil; n++ {
		to, err := c.Instance(ctx, c.service.Name)
		if err != nil {
			continue
		}
		q := fake.Request{
			Service:       c.service.Name,
			Tenant:        model.Tenant(fmt.Sprintf("house-%d", c.rng.IntN(3))),
			Method:        c.service.Method,
			Token:         fmt.Sprintf("%s/%d", c.Name(), n),
			ResponseBytes: c.service.ResponseBytes,
		}
		if c.service.Method == "GET" {
			results = append(results, c.send(ctx, to, q))
		} else {
			results = append(results, c.sendKeyed(ctx, to, q, n)...)
		}
		latency.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(thinkTime)))
	}
	return results
}

// sendKeyed sends a request with a key, and some again at another instance: at
// the same time, or after the answer.
func (c *caller) sendKeyed(ctx context.Context, to view.Instance, q fake.Request, n int) []deployment.Result {
	key, err := c.NewIdempotencyKey(ctx, q.Service, fmt.Sprintf("%016x", c.rng.Uint64()))
	if err != nil {
		return nil
	}
	q.IdempotencyKey = key
	another, err := c.AlternateInstance(ctx, q.Service)
	if err != nil || n%resendEvery != 0 {
		return []deployment.Result{c.send(ctx, to, q)}
	}
	if n%(2*resendEvery) == 0 {
		first := c.send(ctx, to, q)
		return []deployment.Result{first, c.resend(ctx, another, q)}
	}
	second := make(chan deployment.Result)
	go func() { second <- c.resend(ctx, another, q) }()
	first := c.send(ctx, to, q)
	return []deployment.Result{first, <-second}
}

func (c *caller) resend(ctx context.Context, to view.Instance, q fake.Request) deployment.Result {
	s := c.send(ctx, to, q)
	s.Resent = true
	return s
}

// send sends a request once and lets it finish when the context ends.
func (c *caller) send(ctx context.Context, to view.Instance, q fake.Request) deployment.Result {
	s := deployment.Result{
		Service:           q.Service,
		Tenant:            q.Tenant,
		Instance:          to.ID,
		Token:             q.Token,
		Idempotent:        c.service.Idempotent(),
		HasIdempotencyKey: q.IdempotencyKey != "",
		ExecutedBefore:    c.deployment.Journal.Executions(q.Token) > 0,
	}
	start := time.Now()
	s.Call = c.Do(context.WithoutCancel(ctx), to, q)
	s.AffectedByFault = c.deployment.AffectedByFault(to.ID, s.Call)
	s.ResponseTime = time.Since(start)
	return s
}
