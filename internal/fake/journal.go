package fake

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Journal records which requests ran, by the token each carries, and how many
// ran at once in each region and for each shift.
type Journal struct {
	mu      sync.Mutex
	runs    map[string]run
	gauges  map[Flow]*gauge
	regions map[model.Region]*gauge
}

type run struct {
	count int
	work  time.Duration
}

// Flow is the work of a service that arrives in one region and runs in another.
type Flow struct {
	Service  model.ServiceName
	From, To model.Region
}

// gauge counts what goes on at once.
type gauge struct{ now, most int }

func (g *gauge) add(n int) {
	g.now += n
	g.most = max(g.most, g.now)
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{runs: map[string]run{}, gauges: map[Flow]*gauge{}, regions: map[model.Region]*gauge{}}
}

// Run records that the request with the token began to run. work is the time it
// holds a slot when nothing slows it down.
func (j *Journal) Run(token string, flow Flow, work time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.runs[token]
	j.runs[token] = run{count: r.count + 1, work: work}
	j.count(flow, 1)
}

// Ended records that a run has ended.
func (j *Journal) Ended(flow Flow) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count(flow, -1)
}

func (j *Journal) count(flow Flow, n int) {
	if j.gauges[flow] == nil {
		j.gauges[flow] = &gauge{}
	}
	if j.regions[flow.To] == nil {
		j.regions[flow.To] = &gauge{}
	}
	j.gauges[flow].add(n)
	j.regions[flow.To].add(n)
}

// Runs returns how often the request with the token ran.
func (j *Journal) Runs(token string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[token].count
}

// Work returns the undisturbed slot time of the request with the token.
func (j *Journal) Work(token string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[token].work
}

// MostInFlow returns the most requests of a flow that ran at once.
func (j *Journal) MostInFlow(flow Flow) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.gauges[flow]; g != nil {
		return g.most
	}
	return 0
}

// MostInRegion returns the most requests that ran at once in a region.
func (j *Journal) MostInRegion(region model.Region) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if g := j.regions[region]; g != nil {
		return g.most
	}
	return 0
}

// bodyPattern returns the byte that fills the answer to a request, so that a
// caller notices another request's answer.
func bodyPattern(token string) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(token))
	return byte(h.Sum32())
}
