package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// startAdminAPI starts a server that plays the administration API. The server
// responds to each status request with status, and to each change with the next
// body in responses. After the last body it repeats that one. For the body "" it
// closes the connection without a response. startAdminAPI returns client options
// for the server, and the ids of the changes that the server receives.
func startAdminAPI(t *testing.T, status string, responses ...string) (clientArgs, *[]string) {
	changeIDs := &[]string{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/admin/status" {
			_, _ = w.Write([]byte(status))
			return
		}
		var proposed change.Change
		_ = json.NewDecoder(r.Body).Decode(&proposed)
		*changeIDs = append(*changeIDs, proposed.ID)
		response := responses[min(len(*changeIDs), len(responses))-1]
		if response == "" {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(response))
	}))
	t.Cleanup(srv.Close)
	return clientArgs{Instances: []string{srv.Listener.Addr().String()}, Timeout: 900 * time.Millisecond, JSON: true}, changeIDs
}

// exitCode returns the exit code for an error, 0 if there is none.
func exitCode(err error) int {
	var commandErr *commandError
	if errors.As(err, &commandErr) {
		return commandErr.exitCode
	}
	return 0
}

// Guards against retries that hide the outcome of an earlier attempt. A change is
// sent again with the same id if its response is lost or its outcome is unknown.
// The earlier attempt may have been accepted, so a later rejection that is not
// final must not be reported as the outcome.
func TestProposeRetries(t *testing.T) {
	const unknown = `{"code":4003,"class":"outcome_unknown"}`
	const notLeader = `{"code":4002,"class":"not_run"}`
	for name, tc := range map[string]struct {
		responses []string
		exit      int
	}{
		"success after a lost response":     {[]string{"", `{"version":3}`}, 0},
		"success after an unknown outcome":  {[]string{unknown, `{"version":3}`}, 0},
		"rejection after a lost response":   {[]string{"", notLeader}, exitUnknown},
		"rejection of all attempts":         {[]string{notLeader}, exitUnavailable},
		"conflict after an unknown outcome": {[]string{unknown, `{"code":4001,"class":"conflict"}`}, exitConflict},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, changeIDs := startAdminAPI(t, "", tc.responses...)
			_, err := client.propose(&change.Change{ID: "change-1"}, false)
			g.Expect(exitCode(err)).To(Equal(tc.exit), "%v", err)
			for _, id := range *changeIDs {
				g.Expect(id).To(Equal("change-1"))
			}
		})
	}
}

// Guards against a command that reports success with --wait although the version
// is not in force at some instance, or although the leader does not confirm the
// status.
func TestWaitListsInstancesWithoutVersion(t *testing.T) {
	g := NewWithT(t)
	client, _ := startAdminAPI(t, `{"current":true,"instances":[{"id":"a","version":3},{"id":"b","version":2}]}`, `{"version":3}`)
	command := changeArgs{clientArgs: client, Expect: 2, Wait: true, WaitTime: 50 * time.Millisecond}
	report := changeReport{}
	g.Expect(command.waitInForce(3, &report)).To(Succeed())
	g.Expect(report.NotInForceAt).To(Equal([]string{"b"}))
	g.Expect(exitCode(command.apply(change.Operation{Kind: change.AddDrain, Drain: &model.Drain{}}))).To(Equal(exitNotInForce))
	client, _ = startAdminAPI(t, `{"current":false,"instances":[{"id":"a","version":3}]}`, `{"version":3}`)
	command.clientArgs = client
	g.Expect(exitCode(command.apply(change.Operation{Kind: change.AddDrain, Drain: &model.Drain{}}))).To(Equal(exitNotInForce))
}
