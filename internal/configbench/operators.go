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
	racingOperators = 3
	// lostAnswers is the share of answers that operators do not see.
	droppedAnswerShare = 0.2
	// lateResends is the share of accepted changes that are sent again.
	lateResendShare = 0.1
	// operatorPause is the time between two attempts of an operator.
	attemptInterval = 20 * time.Millisecond
	// attemptTimeout is longer than an instance waits for the result.
	attemptTimeout = 4 * time.Second
	// changeTimeout bounds all attempts of one change.
	changeTimeout = 20 * time.Second
	// historyEvery is how many accepted changes lie between two readings of the
	// history, which keeps distribution.MaxHistory entries.
	changesPerHistoryRead = distribution.MaxHistory / 4
)

// operators send changes through the administration API.
type operators struct {
	deployment *deployment
	tracker    *tracker
	client     *http.Client
	seed       uint64
	// next numbers the changes; the number is the content of the change.
	lastNumber int64
	// read is the number of accepted changes at the latest reading of the
	// history.
	acceptedAtLastRead int
}

func newOperators(d *deployment, t *tracker, seed uint64) *operators {
	return &operators{deployment: d, tracker: t, seed: seed, client: &http.Client{Transport: &http.Transport{}}}
}

// run lets operators race until the number of changes is accepted.
func (o *operators) run(ctx context.Context, target, numOperators int, interval time.Duration) error {
	for o.tracker.acceptedCount() < target {
		o.runRound(ctx, numOperators)
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

// round sends changes with the same expected version.
func (o *operators) runRound(ctx context.Context, numOperators int) {
	replaced := o.tracker.highestVersion()
	var wait sync.WaitGroup
	for range numOperators {
		o.lastNumber++
		number := o.lastNumber
		wait.Go(func() { o.propose(ctx, number, replaced) })
	}
	wait.Wait()
}

// propose sends a change until its result is known.
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
		case err == nil && answer.Code == result.Answered:
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
		case <-time.After(attemptInterval):
		case <-ctx.Done():
		}
	}
}

// isRefusal reports whether a correct change never gets the code.
func isUnexpectedRejection(code result.Code) bool {
	switch code {
	case result.ChangeUnknown, result.NotLeader, result.ControlUnavailable, result.ControlQueueFull,
		result.Internal, result.NoConfiguration:
		return false
	}
	return true
}

func (o *operators) postChange(ctx context.Context, index int, body []byte) (*api.ChangeAnswer, error) {
	var answer api.ChangeAnswer
	err := o.callAdmin(ctx, index, http.MethodPost, "changes", body, &answer)
	return &answer, err
}

// call sends a request to an instance. The answer of an instance that does not
// run is an error.
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

// readHistory adds the committed changes that are kept to the history.
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
		case <-time.After(attemptInterval):
		case <-ctx.Done():
		}
	}
	return fmt.Errorf("no instance tells the history: %w", ctx.Err())
}

// isCurrent asks one instance whether it leads within its lease.
func (o *operators) isCurrentLeader(ctx context.Context, index int) bool {
	var status api.StatusAnswer
	return o.callAdmin(ctx, index, http.MethodGet, "status", nil, &status) == nil && status.Current && status.From == o.deployment.ids[index]
}
