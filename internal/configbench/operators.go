package configbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/api"
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/distribution"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// racers is how many operators send a change with the same expected version.
	racers = 3
	// lostAnswers is the share of answers that operators do not see.
	lostAnswers = 0.2
	// lateResends is the share of accepted changes that are sent again.
	lateResends = 0.1
	// operatorPause is the time between two attempts of an operator.
	operatorPause = 20 * time.Millisecond
	// attemptTimeout is longer than an instance waits for the result.
	attemptTimeout = 4 * time.Second
	// changeTimeout bounds all attempts of one change.
	changeTimeout = 20 * time.Second
	// historyEvery is how many accepted changes lie between two readings of the
	// history, which keeps distribution.MaxHistory entries.
	historyEvery = distribution.MaxHistory / 4
)

// operators send changes through the administration API.
type operators struct {
	cluster *cluster
	tracker *tracker
	client  *http.Client
	seed    uint64
	// next numbers the changes; the number is the content of the change.
	next int64
	// read is the number of accepted changes at the latest reading of the
	// history.
	read int
}

func newOperators(c *cluster, t *tracker, seed uint64) *operators {
	return &operators{cluster: c, tracker: t, seed: seed, client: &http.Client{Transport: &http.Transport{}}}
}

// run lets operators race until the number of changes is accepted.
func (o *operators) run(ctx context.Context, until, racers int, interval time.Duration) error {
	for o.tracker.acceptedCount() < until {
		o.round(ctx, racers)
		if n := o.tracker.acceptedCount(); n >= o.read+historyEvery {
			if err := o.readHistory(ctx); err != nil {
				return err
			}
			o.read = n
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return fmt.Errorf("%d of %d changes accepted: %w", o.tracker.acceptedCount(), until, ctx.Err())
		}
	}
	return nil
}

// round sends changes with the same expected version.
func (o *operators) round(ctx context.Context, racers int) {
	base := o.tracker.highest()
	var wait sync.WaitGroup
	for range racers {
		o.next++
		n := o.next
		wait.Go(func() { o.propose(ctx, n, base) })
	}
	wait.Wait()
}

// propose sends a change until its result is known.
func (o *operators) propose(ctx context.Context, n int64, base model.Version) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(o.seed, uint64(n)))
	a := accepted{id: fmt.Sprintf("change-%08d", n), base: base, value: n, sent: time.Now()}
	body, err := json.Marshal(struct {
		ID        string           `json:"change_id"`
		Expected  model.Version    `json:"expected_version"`
		Operation change.Operation `json:"operation"`
	}{a.id, base, change.Operation{Kind: change.SetLinks, Links: []model.Link{{A: "gulf", B: "plains", BytesPerSecond: n}}}})
	if err != nil {
		o.tracker.violation("encode change: %v", err)
		return
	}
	for ctx.Err() == nil {
		answer, err := o.post(ctx, rng.IntN(len(o.cluster.ids)), body)
		lost := rng.Float64() < lostAnswers
		switch {
		case err == nil && lost:
			o.tracker.count(&o.tracker.resends)
		case err == nil && answer.Code == result.Answered:
			a.version, a.at = answer.Version, time.Now()
			o.tracker.accept(a)
			if rng.Float64() >= lateResends {
				return
			}
		case err == nil && answer.Code == result.VersionConflict:
			o.tracker.count(&o.tracker.conflicts)
			return
		case err == nil && isRefusal(answer.Code):
			o.tracker.violation("change %s: %d %s", a.id, answer.Code, answer.Message)
			return
		}
		select {
		case <-time.After(operatorPause):
		case <-ctx.Done():
		}
	}
}

// isRefusal reports whether a correct change never gets the code.
func isRefusal(code result.Code) bool {
	switch code {
	case result.ChangeUnknown, result.NotLeader, result.ControlUnavailable, result.ControlQueueFull,
		result.Internal, result.NoConfiguration:
		return false
	}
	return true
}

func (o *operators) post(ctx context.Context, k int, body []byte) (*api.ChangeResponse, error) {
	var answer api.ChangeResponse
	err := o.call(ctx, k, http.MethodPost, "changes", body, &answer)
	return &answer, err
}

// call sends a request to an instance. The answer of an instance that does not
// run is an error.
func (o *operators) call(ctx context.Context, k int, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/admin/%s", o.cluster.settings[k].Listen, path)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// readHistory adds the committed changes that are kept to the history.
func (o *operators) readHistory(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for k := 0; ctx.Err() == nil; k++ {
		var h struct{ Entries []change.Entry }
		path := fmt.Sprintf("history?limit=%d", distribution.MaxHistory)
		if o.call(ctx, k%len(o.cluster.ids), http.MethodGet, path, nil, &h) == nil && len(h.Entries) > 0 {
			o.tracker.addHistory(h.Entries)
			return nil
		}
		select {
		case <-time.After(operatorPause):
		case <-ctx.Done():
		}
	}
	return fmt.Errorf("no instance tells the history: %w", ctx.Err())
}

// isCurrent asks one instance whether it leads within its lease.
func (o *operators) isCurrent(ctx context.Context, k int) bool {
	var s api.StatusResponse
	return o.call(ctx, k, http.MethodGet, "status", nil, &s) == nil && s.Current && s.From == o.cluster.ids[k]
}
