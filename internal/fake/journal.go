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
	mu      sync.Mutex
	runs    map[string]runs
	runsBy  map[runBy]int
	keys    map[string]int
	flows   map[Flow]*gauge
	regions map[model.Region]*gauge
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
type runs struct {
	count int
	work  time.Duration
}

// runBy is a request as one instance sent it to an upstream.
type runBy struct {
	token    string
	instance model.InstanceID
}

// gauge counts what goes on at once.
type gauge struct{ now, most int }

func (g *gauge) add(n int) {
	g.now += n
	g.most = max(g.most, g.now)
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		runs:    map[string]runs{},
		runsBy:  map[runBy]int{},
		keys:    map[string]int{},
		flows:   map[Flow]*gauge{},
		regions: map[model.Region]*gauge{},
	}
}

// Run records that a request began to run. Ended must follow.
func (j *Journal) RecordStart(r Execution) {
	instance, _, _ := strings.Cut(r.AttemptID, "/")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.Token] = runs{count: j.runs[r.Token].count + 1, work: r.ServiceTime}
	j.runsBy[runBy{r.Token, model.InstanceID(instance)}]++
	if r.IdempotencyKey != "" {
		j.keys[r.IdempotencyKey]++
	}
	j.add(r.Flow, 1)
}

// Ended records that a run has ended.
func (j *Journal) RecordEnd(flow Flow) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(flow, -1)
}

func (j *Journal) add(flow Flow, n int) {
	if j.flows[flow] == nil {
		j.flows[flow] = &gauge{}
	}
	if j.regions[flow.To] == nil {
		j.regions[flow.To] = &gauge{}
	}
	j.flows[flow].add(n)
	j.regions[flow.To].add(n)
}

// RunsBy returns how often the request with the token ran for the instance.
func (j *Journal) ExecutionsFor(token string, instance model.InstanceID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runsBy[runBy{token, instance}]
}

// DuplicateKeys returns the number of keys with which requests ran more than
// once.
func (j *Journal) DuplicateKeys() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, runs := range j.keys {
		if runs > 1 {
			n++
		}
	}
	return n
}

// Runs returns how often the request with the token ran.
func (j *Journal) Executions(token string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[token].count
}

// Work returns the undisturbed slot time of the request with the token.
func (j *Journal) ServiceTime(token string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[token].work
}

// MostInFlow returns the most requests of a flow that ran at once.
func (j *Journal) MaxConcurrentInFlow(flow Flow) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.flows[flow]; g != nil {
		return g.most
	}
	return 0
}

// MostInRegion returns the most requests that ran at once in a region.
func (j *Journal) MaxConcurrentInRegion(region model.Region) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.regions[region]; g != nil {
		return g.most
	}
	return 0
}

// entityTag returns the tag of the answer to a request. It tells a caller whose
// answer it got, and is kept with recorded answers.
func entityTag(token string) string { return strconv.Quote(token) }

// bodyPattern returns the byte that fills the answer to a request, so that a
// caller notices another request's answer.
func bodyPattern(token string) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(token))
	return byte(h.Sum32())
}
