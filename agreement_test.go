package anvilcrank_test

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
	"github.com/apex/log"
)

// controlGroup lists the members of the control group under test.
var controlGroup = []model.InstanceID{"a", "b", "c"}

// eventLog is a log handler that passes the message of each log event to the
// test.
type eventLog chan string

// HandleLog implements log.Handler.
func (l eventLog) HandleLog(e *log.Entry) error {
	l <- e.Message
	return nil
}

// waitFor reads messages until it receives the given one. It fails the test if
// that takes more than 20 seconds.
func (l eventLog) waitFor(t *testing.T, message string) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for m := ""; m != message; {
		select {
		case m = <-l:
		case <-timeout:
			t.Fatalf("no log event %q", message)
		}
	}
}

// startGroup runs the members of the control group. Each member has its own data
// folder under data. The returned function stops all members.
func startGroup(t *testing.T, data string, events eventLog) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var peers []string
	for _, id := range controlGroup {
		i, err := anvilcrank.New(&settings.Settings{
			Instance: id, Zone: model.Zone("zone-" + id), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			Peers: peers, Data: filepath.Join(data, string(id)), ControlGroup: controlGroup, RecordedEvents: 1000,
		}, anvilcrank.Options{
			Logger:      &log.Logger{Handler: events, Level: log.InfoLevel},
			OnInvariant: func(f event.InvariantFailed) { t.Errorf("invariant %s: %s", f.Name, f.Detail) },
		})
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, i.PeerAddress())
		running.Go(func() { _ = i.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// The test founds a control group, which elects a leader. It then damages the log
// file of one member and restarts the group, which elects a leader again. Guards
// against two failures: the reducer, the peer connections and the disk do not
// work together, so that no leader is elected; or the damaged data folder is not
// reported or stops the control group.
func TestGroupElectsLeaderAndRestarts(t *testing.T) {
	data := t.TempDir()
	events := make(eventLog, 10_000)
	stop := startGroup(t, data, events)
	events.waitFor(t, "this instance founded the control group")
	events.waitFor(t, "this instance leads the control group")
	stop()
	if err := os.WriteFile(filepath.Join(data, "c", "log"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	events = make(eventLog, 10_000)
	stop = startGroup(t, data, events)
	events.waitFor(t, "the data folder cannot be used; this member of the control group no longer votes")
	events.waitFor(t, "this instance leads the control group")
	stop()
}
