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

// caller is a fake caller that sends requests for one service.
type caller struct {
	*fake.Caller
	deployment *deployment.Deployment
	service    *deployment.Service
	rng        *rand.Rand
}

// lookupRetryDelay is how long a caller waits after a lookup that no instance
// answered.
const lookupRetryDelay = 20 * time.Millisecond

// run sends requests one after another, with pauses, until the context ends. It
// returns the results of the requests.
func (c *caller) run(ctx context.Context) []deployment.Result {
	var results []deployment.Result
	for n := 0; ctx.Err() == nil; n++ {
		instance, err := c.Instance(ctx, c.service.Name)
		if err != nil {
			latency.Sleep(ctx, lookupRetryDelay)
			continue
		}
		request := fake.Request{
			Service:       c.service.Name,
			Tenant:        model.Tenant(fmt.Sprintf("house-%d", c.rng.IntN(3))),
			Method:        c.service.Method,
			Token:         fmt.Sprintf("%s/%d", c.Name(), n),
			ResponseBytes: c.service.ResponseBytes,
		}
		if c.service.Method == "GET" {
			results = append(results, c.send(ctx, instance, request))
		} else {
			results = append(results, c.sendKeyed(ctx, instance, request, n)...)
		}
		latency.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(thinkTime)))
	}
	return results
}

// sendKeyed sends the n-th request of the caller with an idempotency key. If n is a
// multiple of resendInterval, it also resends the request to another instance:
// alternately after the first response and at the same time as the first attempt.
func (c *caller) sendKeyed(ctx context.Context, instance view.Instance, request fake.Request, n int) []deployment.Result {
	key, err := c.NewIdempotencyKey(ctx, request.Service, fmt.Sprintf("%016x", c.rng.Uint64()))
	if err != nil {
		return nil
	}
	request.IdempotencyKey = key
	alternate, err := c.AlternateInstance(ctx, request.Service)
	if err != nil || n%resendInterval != 0 {
		return []deployment.Result{c.send(ctx, instance, request)}
	}
	if n%(2*resendInterval) == 0 {
		first := c.send(ctx, instance, request)
		return []deployment.Result{first, c.resend(ctx, alternate, request)}
	}
	second := make(chan deployment.Result)
	go func() { second <- c.resend(ctx, alternate, request) }()
	first := c.send(ctx, instance, request)
	return []deployment.Result{first, <-second}
}

// resend sends a request again with the same idempotency key.
func (c *caller) resend(ctx context.Context, instance view.Instance, request fake.Request) deployment.Result {
	result := c.send(ctx, instance, request)
	result.Resent = true
	return result
}

// send sends a request once. If the context ends, the request still continues until
// it has a result.
func (c *caller) send(ctx context.Context, instance view.Instance, request fake.Request) deployment.Result {
	result := deployment.Result{
		Service:           request.Service,
		Tenant:            request.Tenant,
		Instance:          instance.ID,
		Token:             request.Token,
		Idempotent:        c.service.Idempotent(),
		HasIdempotencyKey: request.IdempotencyKey != "",
		ExecutedBefore:    c.deployment.Journal.Executions(request.Token) > 0,
	}
	start := time.Now()
	result.Call = c.Do(context.WithoutCancel(ctx), instance, request)
	result.AffectedByFault = c.deployment.AffectedByFault(instance.ID, result.Call)
	result.ResponseTime = time.Since(start)
	return result
}
