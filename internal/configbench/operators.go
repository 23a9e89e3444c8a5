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
	// racingOperators is the number of operators in a race. In a race, each
	// operator sends its own change at the same time, and all changes expect to
	// replace the same version, so at most one can be accepted.
	racingOperators = 3
	// droppedAnswerShare is the share of answers to changes that the benchmark
	// drops, as if the operator had lost its connection.
	droppedAnswerShare = 0.2
	// lateResendShare is the share of accepted changes that an operator sends once
	// more. Such a change must not be applied again.
	lateResendShare = 0.1
	// retryInterval is the pause before a simulated operator retries a request.
	retryInterval = 20 * time.Millisecond
	// attemptTimeout bounds one request of an operator. It is longer than an
	// instance waits for the result of a change.
	attemptTimeout = 4 * time.Second
	// changeTimeout is the longest time that a simulated operator retries one change.
	changeTimeout = 20 * time.Second
	// changesPerHistoryRead is the number of accepted changes after which the
	// operators read the change history again. It is less than
	// distribution.MaxHistory, the number of entries that the history holds, so
	// that the operators read every entry.
	changesPerHistoryRead = distribution.MaxHistory / 4
)

// operators simulates the operators, who send changes to the administration API of
// the instances.
type operators struct {
	deployment *deployment
	tracker    *tracker
	client     *http.Client
	seed       uint64
	// lastNumber is the number of the latest change. Changes are numbered
	// consecutively, and a change sets its number as a value in the configuration.
	lastNumber int64
	// acceptedAtLastRead is the number of changes that had been accepted when the
	// change history was last read.
	acceptedAtLastRead int
}

func newOperators(d *deployment, t *tracker, seed uint64) *operators {
	return &operators{deployment: d, tracker: t, seed: seed, client: &http.Client{Transport: &http.Transport{}}}
}

// run runs one race of operators after another until the total number of accepted
// changes has reached the target. interval is the pause between two races.
func (o *operators) run(ctx context.Context, target, numOperators int, interval time.Duration) error {
	for o.tracker.acceptedCount() < target {
		o.runRace(ctx, numOperators)
		if n := o.tracker.acceptedCount(); n >= o.acceptedAtLastRead+changesPerHistoryRead {
			if err := o.readHistory(ctx); err != nil {
				return err
			}
			o.acceptedAtLastRead = n
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return fmt.Errorf("%d of %d changes accepted: %w", o.tracker.acceptedCount(), target, ctx.Err())
		}
	}
	return nil
}

// runRace runs one race: operators concurrently send changes with the same
// expected version, of which at most one can be accepted.
func (o *operators) runRace(ctx context.Context, numOperators int) {
	replaced := o.tracker.highestVersion()
	var wait sync.WaitGroup
	for range numOperators {
		o.lastNumber++
		number := o.lastNumber
		wait.Go(func() { o.propose(ctx, number, replaced) })
	}
	wait.Wait()
}

// propose sends one change, again and again until the result of the change is
// known or changeTimeout has passed. replaced is the version that the change
// expects to replace.
func (o *operators) propose(ctx context.Context, number int64, replaced model.Version) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(o.seed, uint64(number)))
	a := acceptedChange{id: fmt.Sprintf("change-%08d", number), replaced: replaced, content: number, sentAt: time.Now()}
	body, err := json.Marshal(struct {
		ID        string           `json:"change_id"`
		Expected  model.Version    `json:"expected_version"`
		Operation change.Operation `json:"operation"`
	}{a.id, replaced, change.Operation{Kind: change.SetLinks, Links: []model.Link{{A: "gulf", B: "plains", BytesPerSecond: number}}}})
	if err != nil {
		o.tracker.addViolation("encode change: %v", err)
		return
	}
	for ctx.Err() == nil {
		answer, err := o.postChange(ctx, rng.IntN(len(o.deployment.ids)), body)
		dropped := rng.Float64() < droppedAnswerShare
		switch {
		case err == nil && dropped:
			o.tracker.increment(&o.tracker.resends)
		case err == nil && answer.Code == result.Success:
			a.version, a.acceptedAt = answer.Version, time.Now()
			o.tracker.recordAccepted(a)
			if rng.Float64() >= lateResendShare {
				return
			}
		case err == nil && answer.Code == result.VersionConflict:
			o.tracker.increment(&o.tracker.conflicts)
			return
		case err == nil && isUnexpectedRejection(answer.Code):
			o.tracker.addViolation("change %s: %d %s", a.id, answer.Code, answer.Message)
			return
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// isUnexpectedRejection reports whether an instance must never reject a valid change
// with this result code. It returns false for transient errors and for codes that
// leave the outcome of the change unknown.
func isUnexpectedRejection(code result.Code) bool {
	switch code {
	case result.ChangeUnknown, result.NotLeader, result.ControlUnavailable, result.ControlQueueFull,
		result.Internal, result.NoConfiguration:
		return false
	}
	return true
}

// postChange sends an encoded change to the instance with the index and returns its
// answer.
func (o *operators) postChange(ctx context.Context, index int, body []byte) (*api.ChangeResponse, error) {
	var answer api.ChangeResponse
	err := o.callAdmin(ctx, index, http.MethodPost, "changes", body, &answer)
	return &answer, err
}

// callAdmin sends a request to the administration API of the instance with the
// index and decodes the answer into target. It returns an error if it receives no
// valid answer, for example because the instance is not running.
func (o *operators) callAdmin(ctx context.Context, index int, method, path string, body []byte, target any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/admin/%s", o.deployment.settings[index].Listen, path)
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
	return json.Unmarshal(data, target)
}

// readHistory asks one instance after another for the history of committed changes
// until an instance returns entries, and adds these to the tracker.
func (o *operators) readHistory(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for k := 0; ctx.Err() == nil; k++ {
		var history struct{ Entries []change.Entry }
		path := fmt.Sprintf("history?limit=%d", distribution.MaxHistory)
		if o.callAdmin(ctx, k%len(o.deployment.ids), http.MethodGet, path, nil, &history) == nil && len(history.Entries) > 0 {
			o.tracker.addHistory(history.Entries)
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
	return fmt.Errorf("no instance returned the history: %w", ctx.Err())
}

// isCurrentLeader sends a status request to the instance with the index. It returns
// true if the instance itself answers that it is the leader with a valid lease.
func (o *operators) isCurrentLeader(ctx context.Context, index int) bool {
	var status api.StatusResponse
	return o.callAdmin(ctx, index, http.MethodGet, "status", nil, &status) == nil && status.Current && status.From == o.deployment.ids[index]
}
