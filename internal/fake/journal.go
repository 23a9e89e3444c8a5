package fake

import (
	"hash/fnv"
	"strings"
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Journal records which requests ran, by the token and the idempotency key that
// each carries.
type Journal struct {
	mu     sync.Mutex
	runs   map[string]int
	runsBy map[runBy]int
	keys   map[string]int
}

// runBy is a request as one instance sent it to an upstream.
type runBy struct {
	token    string
	instance model.InstanceID
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{runs: map[string]int{}, runsBy: map[runBy]int{}, keys: map[string]int{}}
}

// Run records that the request with the token began to run. The key is "" for a
// request without one; the attempt is its Anvilcrank-Attempt header.
func (j *Journal) Run(token, key, attempt string) {
	instance, _, _ := strings.Cut(attempt, "/")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[token]++
	j.runsBy[runBy{token, model.InstanceID(instance)}]++
	if key != "" {
		j.keys[key]++
	}
}

// RunsBy returns how often the request with the token ran for the instance.
func (j *Journal) RunsBy(token string, instance model.InstanceID) int {
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
func (j *Journal) Runs(token string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[token]
}

// bodyPattern returns the byte that fills the answer to a request, so that a
// caller notices another request's answer.
func bodyPattern(token string) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(token))
	return byte(h.Sum32())
}
