package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

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
	RefusedNotRun
	// Unknown requests ended with a code of class outcome_unknown.
	Unknown
	// Lost requests got no answer: the connection broke before one.
	Lost
	// Wrong answers belong to another request or have the wrong length.
	Wrong
	// CutOff answers broke off within the body.
	CutOff
)

// Request is a fake caller's request.
type Request struct {
	Service model.ServiceName
	Tenant  model.Tenant
	Method  string
	Token   string
	// Key is the idempotency key, "" for none.
	Key string
	// Size is the length of a whole answer.
	Size     int
	Deadline time.Duration
}

// Caller sends requests to the instances that look-ups name.
type Caller struct {
	client *http.Client
	zone   model.Zone
	name   string
	seeds  []string

	mu    sync.Mutex
	cache map[model.ServiceName]cached
	turn  int
}

type cached struct {
	instances []view.Instance
	keyZone   model.Zone
	until     time.Time
}

// NewCaller returns a caller in the zone that knows some instances' addresses.
func NewCaller(name string, zone model.Zone, seeds []string) *Caller {
	return &Caller{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		zone:   zone,
		name:   name,
		seeds:  seeds,
		cache:  map[model.ServiceName]cached{},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// NewKey makes an idempotency key for a request for the service.
func (c *Caller) NewKey(ctx context.Context, service model.ServiceName, random string) (string, error) {
	entry, err := c.entry(ctx, service)
	return model.NewKey(entry.keyZone, model.Time(time.Now().UnixNano()), random), err
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
func (c *Caller) Another(ctx context.Context, service model.ServiceName) (view.Instance, error) {
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
	if time.Now().After(entry.until) {
		fresh, err := c.lookup(ctx, service)
		if err != nil {
			return cached{}, err
		}
		entry = fresh
		c.cache[service] = entry
	}
	return entry, nil
}

// Forget drops the cached look-up, as a caller does after a broken connection.
func (c *Caller) Forget(service model.ServiceName) {
	c.mu.Lock()
	delete(c.cache, service)
	c.mu.Unlock()
}

func (c *Caller) lookup(ctx context.Context, service model.ServiceName) (cached, error) {
	var last error
	for range c.seeds {
		seed := c.seeds[c.turn%len(c.seeds)]
		c.turn++
		url := fmt.Sprintf("http://%s/v1/lookup?service=%s&zone=%s&client=%s", seed, service, c.zone, c.name)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return cached{}, err
		}
		resp, err := c.client.Do(req)
		if err != nil {
			last = err
			continue
		}
		var a view.Answer
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err == nil && len(a.Instances) > 0 {
			return cached{a.Instances, a.KeyZone, time.Now().Add(time.Duration(a.TTLMillis) * time.Millisecond)}, nil
		}
		last = fmt.Errorf("lookup at %s: status %d: %w", seed, resp.StatusCode, err)
	}
	return cached{}, last
}

// Do sends a request to the instance and returns what the caller was told, with
// the result code of an answer of the system itself.
func (c *Caller) Do(ctx context.Context, to view.Instance, q Request) (Outcome, string) {
	url := fmt.Sprintf("http://%s/s/%s/item", to.Address, q.Service)
	req, err := http.NewRequestWithContext(ctx, q.Method, url, nil)
	if err != nil {
		return Lost, ""
	}
	if q.Method == http.MethodPost {
		req, _ = http.NewRequestWithContext(ctx, q.Method, url, strings.NewReader(q.Token))
		// The client library would otherwise send it again by itself.
		req.GetBody = nil
	}
	req.Header.Set(HeaderToken, q.Token)
	req.Header.Set(proxy.HeaderTenant, string(q.Tenant))
	if q.Key != "" {
		req.Header.Set(proxy.HeaderKey, q.Key)
	}
	if q.Deadline > 0 {
		req.Header.Set(proxy.HeaderDeadline, fmt.Sprint(q.Deadline.Milliseconds()))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Lost, ""
	}
	defer resp.Body.Close()
	if code := resp.Header.Get(proxy.HeaderCode); code != "" {
		return refusal(resp), code
	}
	return checkBody(resp, q), ""
}

func refusal(resp *http.Response) Outcome {
	var body struct {
		Class string `json:"class"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return CutOff
	}
	if body.Class == "not_run" {
		return RefusedNotRun
	}
	return Unknown
}

// checkBody compares an answer with what the fake upstream makes of the token.
func checkBody(resp *http.Response, q Request) Outcome {
	want := bodyPattern(q.Token)
	buf := make([]byte, 32<<10)
	n := 0
	for {
		k, err := resp.Body.Read(buf)
		for _, b := range buf[:k] {
			if b != want {
				return Wrong
			}
		}
		n += k
		if err == io.EOF {
			break
		}
		if err != nil {
			return CutOff
		}
	}
	if n != q.Size || resp.StatusCode != http.StatusOK {
		return Wrong
	}
	return Answered
}
