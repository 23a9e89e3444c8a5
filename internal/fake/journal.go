package fake

import (
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Journal records which requests ran, by the token and the idempotency key that
// each carries, and how many ran at once in each region and for each flow.
type Journal struct {
	mu                   sync.Mutex
	executions           map[string]requestExecutions
	executionsByInstance map[instanceRequest]int
	executionsByKey      map[string]int
	concurrencyByFlow    map[Flow]*concurrency
	concurrencyByRegion  map[model.Region]*concurrency
}

// Run is a request that begins to run.
type Execution struct {
	Token string
	// Key is "" for a request without one.
	IdempotencyKey string
	// Attempt is the Anvilcrank-Attempt header.
	AttemptID string
	Flow      Flow
	// Work is the time the request holds a slot when nothing slows it down.
	ServiceTime time.Duration
}

// Flow is the work of a service that arrives in one region and runs in another.
type Flow struct {
	Service  model.ServiceName
	From, To model.Region
}

// runs are the runs of one request.
type requestExecutions struct {
	count       int
	serviceTime time.Duration
}

// runBy is a request as one instance sent it to an upstream.
type instanceRequest struct {
	token    string
	instance model.InstanceID
}

// gauge counts what goes on at once.
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

// Run records that a request began to run. Ended must follow.
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

// Ended records that a run has ended.
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

// RunsBy returns how often the request with the token ran for the instance.
func (j *Journal) ExecutionsFor(token string, instance model.InstanceID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executionsByInstance[instanceRequest{token, instance}]
}

// DuplicateKeys returns the number of keys with which requests ran more than
// once.
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

// Runs returns how often the request with the token ran.
func (j *Journal) Executions(token string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[token].count
}

// Work returns the undisturbed slot time of the request with the token.
func (j *Journal) ServiceTime(token string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[token].serviceTime
}

// MostInFlow returns the most requests of a flow that ran at once.
func (j *Journal) MaxConcurrentInFlow(flow Flow) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.concurrencyByFlow[flow]; g != nil {
		return g.max
	}
	return 0
}

// MostInRegion returns the most requests that ran at once in a region.
func (j *Journal) MaxConcurrentInRegion(region model.Region) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.concurrencyByRegion[region]; g != nil {
		return g.max
	}
	return 0
}

// entityTag returns the tag of the answer to a request. It tells a caller whose
// answer it got, and is kept with recorded answers.
func entityTag(token string) string { return strconv.Quote(token) }

// bodyPattern returns the byte that fills the answer to a request, so that a
// caller notices another request's answer.
func bodyByte(token string) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(token))
	return byte(h.Sum32())
}
