package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// callTimeout bounds the wait for a request or an upstream.
const callTimeout = 70 * time.Second

// call is one request of a script.
type call struct {
	token   string
	done    chan struct{}
	outcome fake.Outcome
	code    string
}

var outcomeNames = map[string]fake.Outcome{
	"answered": fake.Answered,
	"not_run":  fake.NotExecuted,
	"unknown":  fake.OutcomeUnknown,
	"lost":     fake.Lost,
}

// call sends a request in the background. A request with a key carries the key
// as its token too, so that all requests with the key count as one.
func (d *deployment) call(name, method, service string, o map[string]string) error {
	to, err := d.instance(o["at"])
	if err != nil {
		return err
	}
	q := fake.Request{
		Service:        model.ServiceName(service),
		Tenant:         "scenario",
		Method:         method,
		Token:          name,
		IdempotencyKey: o["key"],
		ResponseBytes:  defaultSize,
	}
	if q.IdempotencyKey != "" {
		q.Token = q.IdempotencyKey
	}
	if err := parseInt(o, "size", &q.ResponseBytes); err != nil {
		return err
	}
	if err := parseDuration(o, "deadline", &q.Timeout); err != nil {
		return err
	}
	c := &call{token: q.Token, done: make(chan struct{})}
	d.mu.Lock()
	d.calls[name] = c
	d.mu.Unlock()
	caller := fake.NewCaller(fake.CallerOptions{Name: name, Zone: model.Zone(to.zone), Seeds: []string{to.address()}})
	go func() {
		defer close(c.done)
		defer caller.Close()
		reply := caller.Do(context.Background(), view.Instance{Address: to.address()}, q)
		c.outcome, c.code = reply.Outcome, reply.Code
	}()
	return nil
}

func (d *deployment) find(name string) (*call, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.calls[name]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call %q", name)
}

// result waits for a request and compares its outcome.
func (d *deployment) result(name, outcome, code string) error {
	c, err := d.find(name)
	if err != nil {
		return err
	}
	want, ok := outcomeNames[outcome]
	if !ok {
		return fmt.Errorf("unknown outcome %q", outcome)
	}
	select {
	case <-c.done:
	case <-time.After(callTimeout):
		return fmt.Errorf("call %s has no outcome after %v", name, callTimeout)
	}
	if c.outcome != want || code != "" && c.code != code {
		return fmt.Errorf("call %s: outcome %d code %q, want %s %s", name, c.outcome, c.code, outcome, code)
	}
	return nil
}

// running waits until an upstream runs the request.
func (d *deployment) running(name string) error {
	c, err := d.find(name)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(callTimeout)
	for d.journal.Executions(c.token) == 0 {
		select {
		case <-c.done:
			return fmt.Errorf("call %s ended before it ran: outcome %d code %q", name, c.outcome, c.code)
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("call %s does not run after %v", name, callTimeout)
		}
	}
	return nil
}

// runs compares how often upstreams ran the request.
func (d *deployment) runs(name string, want int) error {
	c, err := d.find(name)
	if err != nil {
		return err
	}
	if got := d.journal.Executions(c.token); got != want {
		return fmt.Errorf("call %s ran %d times, want %d", name, got, want)
	}
	return nil
}
