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

// clientArgs are the options of all commands that call an instance.
type clientArgs struct {
	Instances []string      `arg:"--instance,separate,env:ANVILCRANK_INSTANCES" help:"address of an instance, IP:PORT; further ones are tried when it does not answer"`
	Token     string        `arg:"--token,env:ANVILCRANK_TOKEN" help:"token of the administration API"`
	Timeout   time.Duration `arg:"--timeout" default:"10s" help:"how long to try"`
	JSON      bool          `arg:"--json" help:"print one JSON object"`
}

// retryInterval is the pause between two attempts of a call.
const retryInterval = 200 * time.Millisecond

// attemptTimeout is how long an instance may take to respond to one attempt of a
// call. If the call asks the instance to wait, that time is added.
const attemptTimeout = 6 * time.Second

// commandError is an error with the exit code of the command.
type commandError struct {
	exitCode int
	message  string
}

// Error implements the error interface.
func (e *commandError) Error() string { return e.message }

// addresses returns the addresses of the instances to try in turn.
func (a *clientArgs) addresses() []string {
	if len(a.Instances) == 0 {
		return []string{"127.0.0.1:7001"}
	}
	return a.Instances
}

// get reads a resource into out. It tries the instances in turn until one
// responds with 200, one rejects the request with a status below 500, or the
// timeout has passed. wait is how long the instance is asked to wait.
func (a *clientArgs) get(path string, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+wait)
	defer cancel()
	var lastErr error
	for attempt := 0; ; attempt++ {
		address := a.addresses()[attempt%len(a.addresses())]
		status, body, err := a.send(ctx, address, http.MethodGet, path, nil, wait)
		switch {
		case err != nil:
			lastErr = &commandError{exitUnavailable, fmt.Sprintf("%s: %v", address, err)}
		case status == http.StatusOK:
			return json.Unmarshal(body, out)
		default:
			code, message := decodeError(body)
			lastErr = &commandError{exitCodeOf(code), message}
			if status < http.StatusInternalServerError {
				return lastErr
			}
		}
		if !sleepContext(ctx, retryInterval) {
			return lastErr
		}
	}
}

// decodeError returns the result code and a message for a response that reports an
// error. The code is result.Internal if the body contains none.
func decodeError(body []byte) (result.Code, string) {
	var response api.ChangeResponse
	if json.Unmarshal(body, &response) != nil || response.Code == 0 {
		return result.Internal, strings.TrimSpace(string(body))
	}
	return response.Code, fmt.Sprintf("%d %s: %s", int(response.Code), response.Name, response.Message)
}

// send makes one attempt of a call and returns the status and the body of the
// response.
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

// propose sends a change until its result is final or the timeout has passed.
// All attempts contain the same change id. If the outcome of an attempt is
// unknown, that attempt may have been accepted even if a later attempt is
// rejected, so the outcome remains unknown.
func (a *clientArgs) propose(proposed *change.Change, dryRun bool) (*api.ChangeResponse, error) {
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
	}{proposed.ID, proposed.Expected, proposed.Author, proposed.Reason, proposed.Operation})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	mayBeAccepted := false
	var lastErr error
	for attempt := 0; ; attempt++ {
		address := a.addresses()[attempt%len(a.addresses())]
		_, data, err := a.send(ctx, address, http.MethodPost, path, body, 0)
		var response api.ChangeResponse
		if err == nil {
			err = json.Unmarshal(data, &response)
		}
		switch {
		case err != nil:
			mayBeAccepted = true
			lastErr = &commandError{exitUnknown, fmt.Sprintf("%s: %v", address, err)}
		case isFinal(response.Code):
			return &response, responseError(&response)
		default:
			mayBeAccepted = mayBeAccepted || response.Class == result.OutcomeUnknown
			lastErr = responseError(&response)
		}
		if !sleepContext(ctx, retryInterval) {
			break
		}
	}
	if mayBeAccepted && !dryRun {
		return nil, &commandError{exitUnknown, fmt.Sprintf("outcome unknown; repeat with --expect %d --change-id %s: %v", proposed.Expected, proposed.ID, lastErr)}
	}
	return nil, lastErr
}

// isFinal reports whether further attempts to send the change would end with the
// same result code.
func isFinal(code result.Code) bool {
	switch code {
	case result.ChangeUnknown, result.NotLeader, result.ControlUnavailable, result.NotCurrent,
		result.ControlQueueFull, result.Internal:
		return false
	}
	return true
}

// responseError returns the error for the response to a change, nil if the change
// was accepted.
func responseError(response *api.ChangeResponse) error {
	if response.Code == result.Success {
		return nil
	}
	message := fmt.Sprintf("%d %s: %s", int(response.Code), response.Name, response.Message)
	if response.Winner != nil {
		message += fmt.Sprintf(" (version %d by %s, change %s)", response.Winner.Version, response.Winner.Author, response.Winner.ID)
	}
	return &commandError{exitCodeOf(response.Code), message}
}

// exitCodeOf returns the exit code for a result code.
func exitCodeOf(code result.Code) int {
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

// sleepContext sleeps for d. It returns false if the context ends earlier.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// newChangeID returns a random identifier for a change.
func newChangeID() string { return "change-" + strings.ToLower(rand.Text()) }
