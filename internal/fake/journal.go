package fake

import (
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Journal records which requests were executed, by token and by idempotency key,
// and how many were executed concurrently in each region and for each flow.
type Journal struct {
	mu                   sync.Mutex
	executions           map[string]requestExecutions
	executionsByInstance map[instanceRequest]int
	executionsByKey      map[string]int
	concurrencyByFlow    map[Flow]*concurrency
	concurrencyByRegion  map[model.Region]*concurrency
}

// Execution is one execution of a request at an upstream.
type Execution struct {
	Token string
	// IdempotencyKey is "" for a request without one.
	IdempotencyKey string
	// AttemptID is the value of the Anvilcrank-Attempt header.
	AttemptID string
	Flow      Flow
	// ServiceTime is the service time of the request, without slowdowns.
	ServiceTime time.Duration
}

// Flow is the requests for a service that arrive in region From and are executed
// in region To.
type Flow struct {
	Service  model.ServiceName
	From, To model.Region
}

// requestExecutions is the number of executions of one request and the service
// time of the latest one.
type requestExecutions struct {
	count       int
	serviceTime time.Duration
}

// instanceRequest identifies a request that one instance sent to an upstream.
type instanceRequest struct {
	token    string
	instance model.InstanceID
}

// concurrency is the current and the highest number of concurrent executions.
type concurrency struct{ current, max int }

func (g *concurrency) add(n int) {
	g.current += n
	g.max = max(g.max, g.current)
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		executions:           map[string]requestExecutions{},
		executionsByInstance: map[instanceRequest]int{},
		executionsByKey:      map[string]int{},
		concurrencyByFlow:    map[Flow]*concurrency{},
		concurrencyByRegion:  map[model.Region]*concurrency{},
	}
}

// RecordStart records the start of an execution. A call of RecordEnd with the
// same flow must follow.
func (j *Journal) RecordStart(e Execution) {
	instance, _, _ := strings.Cut(e.AttemptID, "/")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[e.Token] = requestExecutions{count: j.executions[e.Token].count + 1, serviceTime: e.ServiceTime}
	j.executionsByInstance[instanceRequest{e.Token, model.InstanceID(instance)}]++
	if e.IdempotencyKey != "" {
		j.executionsByKey[e.IdempotencyKey]++
	}
	j.addConcurrent(e.Flow, 1)
}

// RecordEnd records the end of an execution.
func (j *Journal) RecordEnd(flow Flow) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addConcurrent(flow, -1)
}

func (j *Journal) addConcurrent(flow Flow, n int) {
	if j.concurrencyByFlow[flow] == nil {
		j.concurrencyByFlow[flow] = &concurrency{}
	}
	if j.concurrencyByRegion[flow.To] == nil {
		j.concurrencyByRegion[flow.To] = &concurrency{}
	}
	j.concurrencyByFlow[flow].add(n)
	j.concurrencyByRegion[flow.To].add(n)
}

// ExecutionsFor returns how often upstreams executed the request with the token
// that the given instance sent to them.
func (j *Journal) ExecutionsFor(token string, instance model.InstanceID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executionsByInstance[instanceRequest{token, instance}]
}

// DuplicateKeys returns the number of idempotency keys with more than one
// execution.
func (j *Journal) DuplicateKeys() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	duplicates := 0
	for _, count := range j.executionsByKey {
		if count > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Executions returns how often the request with the token was executed.
func (j *Journal) Executions(token string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[token].count
}

// ServiceTime returns the service time, without slowdowns, of the latest
// execution of the request with the token.
func (j *Journal) ServiceTime(token string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[token].serviceTime
}

// MaxConcurrentInFlow returns the highest number of concurrent executions of a
// flow.
func (j *Journal) MaxConcurrentInFlow(flow Flow) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.concurrencyByFlow[flow]; g != nil {
		return g.max
	}
	return 0
}

// MaxConcurrentInRegion returns the highest number of concurrent executions in a
// region.
func (j *Journal) MaxConcurrentInRegion(region model.Region) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.concurrencyByRegion[region]; g != nil {
		return g.max
	}
	return 0
}

// entityTag returns the value of the Etag header in the response to a request. If
// a caller receives the response to another request, for example one that the
// ledger recorded, it detects that by this header.
func entityTag(token string) string { return strconv.Quote(token) }

// bodyByte returns the byte that fills the response body for a request, so
// that a caller recognizes the body of another request.
func bodyByte(token string) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(token))
	return byte(h.Sum32())
}
