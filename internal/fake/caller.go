package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/latency"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Outcome is what a caller was told about a request.
type Outcome uint8

// Outcomes.
const (
	// Answered requests got a whole answer.
	Answered Outcome = iota
	// RefusedNotRun requests were refused with a code of class not_run.
	NotExecuted
	// Unknown requests ended with a code of class outcome_unknown.
	OutcomeUnknown
	// Lost requests got no answer: the connection broke before one.
	Lost
	// Wrong answers belong to another request or have the wrong length.
	WrongResponse
	// CutOff answers broke off within the body.
	Truncated
)

// Request is a fake caller's request.
type Request struct {
	Service model.ServiceName
	Tenant  model.Tenant
	Method  string
	Token   string
	// Key is the idempotency key, "" for none.
	IdempotencyKey string
	// Size is the length of a whole answer.
	ResponseBytes int
	Timeout       time.Duration
}

// Reply is what a caller was told.
type CallResult struct {
	Outcome Outcome
	// Code is the result code of an answer of the system itself.
	Code string
	// Upstream names the upstream that answered, as far as that is known.
	Upstream model.UpstreamID
	// Unsent is set if no connection could be made, so that nothing was sent.
	Unsent bool
}

// Caller sends requests to the instances that look-ups name.
type Caller struct {
	client  *http.Client
	options CallerOptions

	mu       sync.Mutex
	lookups  map[model.ServiceName]cachedLookup
	nextSeed int
}

type cachedLookup struct {
	instances []view.Instance
	keyZone   model.Zone
	expiresAt time.Time
}

// CallerOptions describe a fake caller.
type CallerOptions struct {
	Name   string
	Zone   model.Zone
	Region model.Region
	// Seeds are addresses of some instances.
	Seeds []string
	// Latency is the one-way delay between the caller and instances.
	OneWayLatency time.Duration
}

// idleConnections is how many unused connections a caller keeps to an instance.
const maxIdleConnections = 512

// NewCaller returns a caller.
func NewCaller(o CallerOptions) *Caller {
	return &Caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		options: o,
		lookups: map[model.ServiceName]cachedLookup{},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Name returns the name that the caller gives in look-ups.
func (c *Caller) Name() string { return c.options.Name }

// NewKey makes an idempotency key for a request for the service.
func (c *Caller) NewIdempotencyKey(ctx context.Context, service model.ServiceName, random string) (string, error) {
	lookup, err := c.validLookup(ctx, service)
	return model.FormatKey(lookup.keyZone, model.Time(time.Now().UnixNano()), random), err
}

// Instance returns the instance to use for the service, after a look-up if no
// cached one is valid.
func (c *Caller) Instance(ctx context.Context, service model.ServiceName) (view.Instance, error) {
	lookup, err := c.validLookup(ctx, service)
	if err != nil {
		return view.Instance{}, err
	}
	return lookup.instances[0], nil
}

// Another returns an instance for a request that was sent to the first one
// already: another one if the look-up named several.
func (c *Caller) AlternateInstance(ctx context.Context, service model.ServiceName) (view.Instance, error) {
	lookup, err := c.validLookup(ctx, service)
	if err != nil {
		return view.Instance{}, err
	}
	return lookup.instances[min(1, len(lookup.instances)-1)], nil
}

// entry returns a valid look-up.
func (c *Caller) validLookup(ctx context.Context, service model.ServiceName) (cachedLookup, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lookup := c.lookups[service]
	if len(lookup.instances) == 0 || time.Now().After(lookup.expiresAt) {
		fresh, err := c.fetchLookup(ctx, service)
		if err != nil {
			return cachedLookup{}, err
		}
		lookup = fresh
		c.lookups[service] = lookup
	}
	return lookup, nil
}

// Skip drops an instance from the cached look-up, as a caller does that cannot
// connect to it. After the last one it looks up again.
func (c *Caller) DropInstance(service model.ServiceName, id model.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lookup := c.lookups[service]
	var remaining []view.Instance
	for _, instance := range lookup.instances {
		if instance.ID != id {
			remaining = append(remaining, instance)
		}
	}
	lookup.instances = remaining
	c.lookups[service] = lookup
}

func (c *Caller) fetchLookup(ctx context.Context, service model.ServiceName) (cachedLookup, error) {
	var lastErr error
	for range c.options.Seeds {
		seed := c.options.Seeds[c.nextSeed%len(c.options.Seeds)]
		c.nextSeed++
		url := fmt.Sprintf("http://%s/v1/lookup?service=%s&zone=%s&client=%s", seed, service, c.options.Zone, c.options.Name)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return cachedLookup{}, err
		}
		resp, err := c.client.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		var answer view.LookupResult
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Instances) > 0 {
			return cachedLookup{answer.Instances, answer.KeyZone, time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)}, nil
		}
		lastErr = fmt.Errorf("lookup at %s: status %d: %w", seed, resp.StatusCode, err)
	}
	return cachedLookup{}, lastErr
}

// Do sends a request to the instance and returns what the caller was told.
func (c *Caller) Do(ctx context.Context, instance view.Instance, request Request) CallResult {
	req, err := c.newRequest(ctx, instance, request)
	if err != nil {
		return CallResult{Outcome: Lost, Unsent: true}
	}
	latency.Sleep(ctx, c.options.OneWayLatency)
	defer latency.Sleep(ctx, c.options.OneWayLatency)
	resp, err := c.client.Do(req)
	if err != nil {
		var opErr *net.OpError
		return CallResult{Outcome: Lost, Unsent: errors.As(err, &opErr) && opErr.Op == "dial"}
	}
	defer resp.Body.Close()
	if code := resp.Header.Get(proxy.HeaderCode); code != "" {
		return CallResult{Outcome: rejectionOutcome(resp), Code: code}
	}
	return CallResult{Outcome: checkResponse(resp, request), Upstream: model.UpstreamID(resp.Header.Get(HeaderUpstream))}
}

func (c *Caller) newRequest(ctx context.Context, instance view.Instance, request Request) (*http.Request, error) {
	var body io.Reader
	if request.Method == http.MethodPost {
		body = strings.NewReader(request.Token)
	}
	url := fmt.Sprintf("http://%s/s/%s/item", instance.Address, request.Service)
	req, err := http.NewRequestWithContext(ctx, request.Method, url, body)
	if err != nil {
		return nil, err
	}
	// The client library would otherwise send it again by itself.
	req.GetBody = nil
	req.Header.Set(HeaderToken, request.Token)
	req.Header.Set(HeaderOriginRegion, string(c.options.Region))
	req.Header.Set(proxy.HeaderTenant, string(request.Tenant))
	if request.IdempotencyKey != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if request.Timeout > 0 {
		req.Header.Set(proxy.HeaderDeadline, fmt.Sprint(request.Timeout.Milliseconds()))
	}
	return req, nil
}

func rejectionOutcome(resp *http.Response) Outcome {
	var body struct {
		Class string `json:"class"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return Truncated
	}
	if body.Class == "not_run" {
		return NotExecuted
	}
	return OutcomeUnknown
}

// checkBody compares an answer with what the fake upstream makes of the token.
func checkResponse(resp *http.Response, request Request) Outcome {
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Etag") != entityTag(request.Token) {
		return WrongResponse
	}
	pattern := []byte{bodyByte(request.Token)}
	buf := make([]byte, 32<<10)
	received := 0
	for {
		count, err := resp.Body.Read(buf)
		if bytes.Count(buf[:count], pattern) != count {
			return WrongResponse
		}
		received += count
		if err == io.EOF {
			break
		}
		if err != nil {
			return Truncated
		}
	}
	if received != request.ResponseBytes {
		return WrongResponse
	}
	return Answered
}
