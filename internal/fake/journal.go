package fake

import (
	"hash/fnv"
	"sync"
)

// Journal records which requests ran, by the token each carries.
type Journal struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{runs: map[string]int{}} }

// Run records that the request with the token began to run.
func (j *Journal) Run(token string) {
	j.mu.Lock()
	j.runs[token]++
	j.mu.Unlock()
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
