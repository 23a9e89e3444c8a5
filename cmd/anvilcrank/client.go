package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/api"
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// clientArgs are the options of every command that asks an instance.
type clientArgs struct {
	Instances []string      `arg:"--instance,separate,env:ANVILCRANK_INSTANCES" help:"address of an instance, IP:PORT; further ones are tried when it does not answer"`
	Token     string        `arg:"--token,env:ANVILCRANK_TOKEN" help:"token of the administration API"`
	Timeout   time.Duration `arg:"--timeout" default:"10s" help:"how long to try"`
	JSON      bool          `arg:"--json" help:"print one JSON object"`
}

// retryPause is the time between two attempts.
const retryPause = 200 * time.Millisecond

// attemptTimeout bounds one attempt beside what the instance was asked to wait.
const attemptTimeout = 6 * time.Second

// commandError is an error with the exit code of the command.
type commandError struct {
	exit int
	text string
}

// Error implements the error interface.
func (e *commandError) Error() string { return e.text }

func (a *clientArgs) addresses() []string {
	if len(a.Instances) == 0 {
		return []string{"127.0.0.1:7001"}
	}
	return a.Instances
}

// get reads a resource from the first instance that answers with success.
func (a *clientArgs) get(path string, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+wait)
	defer cancel()
	var last error
	for n := 0; ; n++ {
		address := a.addresses()[n%len(a.addresses())]
		status, body, err := a.send(ctx, address, http.MethodGet, path, nil, wait)
		switch {
		case err != nil:
			last = &commandError{exitUnavailable, fmt.Sprintf("%s: %v", address, err)}
		case status == http.StatusOK:
			return json.Unmarshal(body, into)
		default:
			code, text := refusal(body)
			last = &commandError{exitOf(code), text}
			if status < http.StatusInternalServerError {
				return last
			}
		}
		if !pauseFor(ctx, retryPause) {
			return last
		}
	}
}

// refusal reads the code and the text of an answer that is not a success.
func refusal(body []byte) (result.Code, string) {
	var r api.ChangeAnswer
	if json.Unmarshal(body, &r) != nil || r.Code == 0 {
		return result.Internal, strings.TrimSpace(string(body))
	}
	return r.Code, fmt.Sprintf("%d %s: %s", int(r.Code), r.Name, r.Message)
}

func (a *clientArgs) send(ctx context.Context, address, method, path string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/admin/"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if a.Token != "" {
		req.Header.Set("Authorization", "Bearer "+a.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// propose sends a change until its result is known or the time is up. All
// attempts carry the same change id. Once an answer was lost, a later "not
// accepted" says nothing about the earlier attempt, so the outcome stays unknown.
func (a *clientArgs) propose(x *change.Change, dryRun bool) (*api.ChangeAnswer, error) {
	path := "changes"
	if dryRun {
		path = "dry-run"
	}
	body, err := json.Marshal(struct {
		ID        string           `json:"change_id"`
		Expected  model.Version    `json:"expected_version"`
		Author    string           `json:"author,omitempty"`
		Reason    string           `json:"reason,omitempty"`
		Operation change.Operation `json:"operation"`
	}{x.ID, x.Expected, x.Author, x.Reason, x.Operation})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	lost := false
	var last error
	for n := 0; ; n++ {
		address := a.addresses()[n%len(a.addresses())]
		_, data, err := a.send(ctx, address, http.MethodPost, path, body, 0)
		var answer api.ChangeAnswer
		if err == nil {
			err = json.Unmarshal(data, &answer)
		}
		switch {
		case err != nil:
			lost = true
			last = &commandError{exitUnknown, fmt.Sprintf("%s: %v", address, err)}
		case isFinal(answer.Code):
			return &answer, answerError(&answer)
		default:
			lost = lost || answer.Class == result.OutcomeUnknown
			last = answerError(&answer)
		}
		if !pauseFor(ctx, retryPause) {
			break
		}
	}
	if lost && !dryRun {
		return nil, &commandError{exitUnknown, fmt.Sprintf("outcome unknown; repeat with --expect %d --change-id %s: %v", x.Expected, x.ID, last)}
	}
	return nil, last
}

// isFinal reports whether another attempt cannot give another result.
func isFinal(code result.Code) bool {
	switch code {
	case result.ChangeUnknown, result.NotLeader, result.ControlUnavailable, result.NotCurrent,
		result.ControlQueueFull, result.Internal:
		return false
	}
	return true
}

func answerError(a *api.ChangeAnswer) error {
	if a.Code == result.Answered {
		return nil
	}
	text := fmt.Sprintf("%d %s: %s", int(a.Code), a.Name, a.Message)
	if a.Winner != nil {
		text += fmt.Sprintf(" (version %d by %s, change %s)", a.Winner.Version, a.Winner.Author, a.Winner.ID)
	}
	return &commandError{exitOf(a.Code), text}
}

// exitOf returns the exit code for a result code.
func exitOf(code result.Code) int {
	switch code {
	case result.VersionConflict, result.ChangeIDReused:
		return exitConflict
	case result.InvalidChange, result.MalformedChange, result.MalformedRequest:
		return exitInvalid
	case result.ChangeUnknown, result.Internal:
		return exitUnknown
	case result.Unauthorized:
		return exitUnauthorized
	case result.NotLeader, result.NotCurrent, result.ControlUnavailable, result.ControlQueueFull, result.NoConfiguration:
		return exitUnavailable
	}
	return exitFailure
}

func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// newChangeID draws an identifier that no other change has.
func newChangeID() string { return "change-" + strings.ToLower(rand.Text()) }
