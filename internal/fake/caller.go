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

// Outcome is the result of a request from the caller's point of view.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered means that the caller received a complete, correct response.
	Answered Outcome = iota
	// NotExecuted means that the request was rejected with a code of class
	// not_run.
	NotExecuted
	// OutcomeUnknown means that the request ended with a code of class
	// outcome_unknown.
	OutcomeUnknown
	// Lost means that the connection failed before a response began.
	Lost
	// WrongResponse means that the response belongs to another request or has
	// the wrong length.
	WrongResponse
	// Truncated means that the connection failed within the response body.
	Truncated
)

// Request is a request that a fake caller sends.
type Request struct {
	Service model.ServiceName
	Tenant  model.Tenant
	Method  string
	// Token identifies the request to the journal. Resends carry the same token.
	Token string
	// IdempotencyKey is "" for a request without one.
	IdempotencyKey string
	// ResponseBytes is the expected length of the response body.
	ResponseBytes int
	// Timeout is sent with the request; 0 sends none.
	Timeout time.Duration
}

// CallResult is the result of one request.
type CallResult struct {
	Outcome Outcome
	// Code is the result code of a response that an instance produced itself,
	// "" if an upstream produced the response.
	Code string
	// Upstream is the upstream that answered, "" if unknown.
	Upstream model.UpstreamID
	// Unsent is set if no connection could be opened and nothing was sent.
	Unsent bool
}

// Caller sends requests to the instances that lookups return, and caches the
// results of lookups.
type Caller struct {
	client  *http.Client
	options CallerOptions

	mu       sync.Mutex
	lookups  map[model.ServiceName]cachedLookup
	nextSeed int
}

// cachedLookup is the cached answer to a lookup of a service.
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
	// Seeds are addresses of instances that answer lookups.
	Seeds []string
	// OneWayLatency is the delay between the caller and instances in each
	// direction.
	OneWayLatency time.Duration
}

// maxIdleConnections is the number of idle connections to an instance that a
// caller keeps at most.
const maxIdleConnections = 512

// NewCaller returns a caller with an empty lookup cache.
func NewCaller(o CallerOptions) *Caller {
	return &Caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		options: o,
		lookups: map[model.ServiceName]cachedLookup{},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Name returns the client name that the caller sends with lookups.
func (c *Caller) Name() string { return c.options.Name }

// NewIdempotencyKey returns a new idempotency key for a request to the service.
// The key contains the zone that the lookup returns and the given random part.
func (c *Caller) NewIdempotencyKey(ctx context.Context, service model.ServiceName, random string) (string, error) {
	lookup, err := c.validLookup(ctx, service)
	return model.FormatKey(lookup.keyZone, model.Time(time.Now().UnixNano()), random), err
}

// Instance returns the preferred instance for the service, from a cached lookup
// that is still valid or from a new one.
func (c *Caller) Instance(ctx context.Context, service model.ServiceName) (view.Instance, error) {
	lookup, err := c.validLookup(ctx, service)
	if err != nil {
		return view.Instance{}, err
	}
	return lookup.instances[0], nil
}

// AlternateInstance returns an instance for resending a request that was already
// sent to the preferred one. It is a different instance if the lookup returned
// more than one.
func (c *Caller) AlternateInstance(ctx context.Context, service model.ServiceName) (view.Instance, error) {
	lookup, err := c.validLookup(ctx, service)
	if err != nil {
		return view.Instance{}, err
	}
	return lookup.instances[min(1, len(lookup.instances)-1)], nil
}

// validLookup returns the cached lookup of the service. It sends a new lookup if
// the cached one has expired or has no instances left.
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

// DropInstance removes an instance from the cached lookup, since the caller
// cannot connect to it. Once no instance is left, the next request causes a new
// lookup.
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

// fetchLookup sends a lookup to the seeds in turn until one of them answers.
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

// Do sends a request to the instance and returns its result.
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

// newRequest returns the HTTP request for the instance.
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
	// Without GetBody, the HTTP client cannot resend the request on its own.
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

// rejectionOutcome returns the outcome of a request that an instance answered
// itself.
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

// checkResponse compares the response with the one that a fake upstream sends
// for the request's token.
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
