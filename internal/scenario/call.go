package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// callTimeout limits how long a script waits for the outcome or the execution of
// a request.
const callTimeout = 70 * time.Second

// call is a request that a script sends. outcome and code, the result code, are
// set once done is closed.
type call struct {
	token   string
	done    chan struct{}
	outcome fake.Outcome
	code    string
}

// outcomesByName maps the names of outcomes in scripts to the outcomes.
var outcomesByName = map[string]fake.Outcome{
	"answered": fake.Answered,
	"not_run":  fake.NotExecuted,
	"unknown":  fake.OutcomeUnknown,
	"lost":     fake.Lost,
}

// startCall sends a request in the background. If the request has an
// idempotency key, the key is also its token, so that the journal counts the
// executions of all requests with this key together.
func (d *deployment) startCall(name, method, service string, options map[string]string) error {
	target, err := d.instance(options["at"])
	if err != nil {
		return err
	}
	request := fake.Request{
		Service:        model.ServiceName(service),
		Tenant:         "scenario",
		Method:         method,
		Token:          name,
		IdempotencyKey: options["key"],
		ResponseBytes:  defaultBodyBytes,
	}
	if request.IdempotencyKey != "" {
		request.Token = request.IdempotencyKey
	}
	if err := parseInt(options, "size", &request.ResponseBytes); err != nil {
		return err
	}
	if err := parseDuration(options, "deadline", &request.Timeout); err != nil {
		return err
	}
	c := &call{token: request.Token, done: make(chan struct{})}
	d.mu.Lock()
	d.calls[name] = c
	d.mu.Unlock()
	caller := fake.NewCaller(fake.CallerOptions{Name: name, Zone: model.Zone(target.zone), Seeds: []string{target.address()}})
	go func() {
		defer close(c.done)
		defer caller.Close()
		reply := caller.Do(context.Background(), view.Instance{Address: target.address()}, request)
		c.outcome, c.code = reply.Outcome, reply.Code
	}()
	return nil
}

func (d *deployment) findCall(name string) (*call, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.calls[name]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call %q", name)
}

// checkResult waits for the outcome of a request and compares it with the
// expected outcome. It also compares the result code with the parameter code,
// unless that is "".
func (d *deployment) checkResult(name, outcome, code string) error {
	c, err := d.findCall(name)
	if err != nil {
		return err
	}
	want, ok := outcomesByName[outcome]
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

// awaitExecution waits until an upstream has begun to execute the request.
func (d *deployment) awaitExecution(name string) error {
	c, err := d.findCall(name)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(callTimeout)
	for d.journal.Executions(c.token) == 0 {
		select {
		case <-c.done:
			return fmt.Errorf("call %s ended before it was executed: outcome %d code %q", name, c.outcome, c.code)
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("call %s was not executed within %v", name, callTimeout)
		}
	}
	return nil
}

// checkExecutions compares the number of executions of the request with want.
func (d *deployment) checkExecutions(name string, want int) error {
	c, err := d.findCall(name)
	if err != nil {
		return err
	}
	if got := d.journal.Executions(c.token); got != want {
		return fmt.Errorf("call %s was executed %d times, want %d", name, got, want)
	}
	return nil
}
