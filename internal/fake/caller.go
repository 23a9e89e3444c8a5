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

	mu    sync.Mutex
	cache map[model.ServiceName]cached
	turn  int
}

type cached struct {
	instances []view.Instance
	keyZone   model.Zone
	until     time.Time
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
const idleConnections = 512

// NewCaller returns a caller.
func NewCaller(o CallerOptions) *Caller {
	return &Caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		options: o,
		cache:   map[model.ServiceName]cached{},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Name returns the name that the caller gives in look-ups.
func (c *Caller) Name() string { return c.options.Name }

// NewKey makes an idempotency key for a request for the service.
func (c *Caller) NewIdempotencyKey(ctx context.Context, service model.ServiceName, random string) (string, error) {
	entry, err := c.entry(ctx, service)
	return model.FormatKey(entry.keyZone, model.Time(time.Now().UnixNano()), random), err
}

// Instance returns the instance to use for the service, after a look-up if no
// cached one is valid.
func (c *Caller) Instance(ctx context.Context, service model.ServiceName) (view.Instance, error) {
	entry, err := c.entry(ctx, service)
	if err != nil {
		return view.Instance{}, err
	}
	return entry.instances[0], nil
}

// Another returns an instance for a request that was sent to the first one
// already: another one if the look-up named several.
func (c *Caller) AlternateInstance(ctx context.Context, service model.ServiceName) (view.Instance, error) {
	entry, err := c.entry(ctx, service)
	if err != nil {
		return view.Instance{}, err
	}
	return entry.instances[min(1, len(entry.instances)-1)], nil
}

// entry returns a valid look-up.
func (c *Caller) entry(ctx context.Context, service model.ServiceName) (cached, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.cache[service]
	if len(entry.instances) == 0 || time.Now().After(entry.until) {
		fresh, err := c.lookup(ctx, service)
		if err != nil {
			return cached{}, err
		}
		entry = fresh
		c.cache[service] = entry
	}
	return entry, nil
}

// Skip drops an instance from the cached look-up, as a caller does that cannot
// connect to it. After the last one it looks up again.
func (c *Caller) DropInstance(service model.ServiceName, id model.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.cache[service]
	var rest []view.Instance
	for _, i := range entry.instances {
		if i.ID != id {
			rest = append(rest, i)
		}
	}
	entry.instances = rest
	c.cache[service] = entry
}

func (c *Caller) lookup(ctx context.Context, service model.ServiceName) (cached, error) {
	var last error
	for range c.options.Seeds {
		seed := c.options.Seeds[c.turn%len(c.options.Seeds)]
		c.turn++
		url := fmt.Sprintf("http://%s/v1/lookup?service=%s&zone=%s&client=%s", seed, service, c.options.Zone, c.options.Name)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return cached{}, err
		}
		resp, err := c.client.Do(req)
		if err != nil {
			last = err
			continue
		}
		var a view.LookupResult
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err == nil && len(a.Instances) > 0 {
			return cached{a.Instances, a.KeyZone, time.Now().Add(time.Duration(a.TTLMillis) * time.Millisecond)}, nil
		}
		last = fmt.Errorf("lookup at %s: status %d: %w", seed, resp.StatusCode, err)
	}
	return cached{}, last
}

// Do sends a request to the instance and returns what the caller was told.
func (c *Caller) Do(ctx context.Context, to view.Instance, q Request) CallResult {
	req, err := c.request(ctx, to, q)
	if err != nil {
		return CallResult{Outcome: Lost, Unsent: true}
	}
	latency.Sleep(ctx, c.options.OneWayLatency)
	defer latency.Sleep(ctx, c.options.OneWayLatency)
	resp, err := c.client.Do(req)
	if err != nil {
		var op *net.OpError
		return CallResult{Outcome: Lost, Unsent: errors.As(err, &op) && op.Op == "dial"}
	}
	defer resp.Body.Close()
	if code := resp.Header.Get(proxy.HeaderCode); code != "" {
		return CallResult{Outcome: refusal(resp), Code: code}
	}
	return CallResult{Outcome: checkBody(resp, q), Upstream: model.UpstreamID(resp.Header.Get(HeaderUpstream))}
}

func (c *Caller) request(ctx context.Context, to view.Instance, q Request) (*http.Request, error) {
	var body io.Reader
	if q.Method == http.MethodPost {
		body = strings.NewReader(q.Token)
	}
	url := fmt.Sprintf("http://%s/s/%s/item", to.Address, q.Service)
	req, err := http.NewRequestWithContext(ctx, q.Method, url, body)
	if err != nil {
		return nil, err
	}
	// The client library would otherwise send it again by itself.
	req.GetBody = nil
	req.Header.Set(HeaderToken, q.Token)
	req.Header.Set(HeaderOriginRegion, string(c.options.Region))
	req.Header.Set(proxy.HeaderTenant, string(q.Tenant))
	if q.IdempotencyKey != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, q.IdempotencyKey)
	}
	if q.Timeout > 0 {
		req.Header.Set(proxy.HeaderDeadline, fmt.Sprint(q.Timeout.Milliseconds()))
	}
	return req, nil
}

func refusal(resp *http.Response) Outcome {
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
func checkBody(resp *http.Response, q Request) Outcome {
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Etag") != entityTag(q.Token) {
		return WrongResponse
	}
	want := []byte{bodyPattern(q.Token)}
	buf := make([]byte, 32<<10)
	n := 0
	for {
		k, err := resp.Body.Read(buf)
		if bytes.Count(buf[:k], want) != k {
			return WrongResponse
		}
		n += k
		if err == io.EOF {
			break
		}
		if err != nil {
			return Truncated
		}
	}
	if n != q.ResponseBytes {
		return WrongResponse
	}
	return Answered
}
