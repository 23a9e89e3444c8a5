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

var controlGroup = []model.InstanceID{"a", "b", "c"}

// eventLog passes on the names of log events.
type eventLog chan string

// HandleLog implements log.Handler.
func (l eventLog) HandleLog(e *log.Entry) error {
	l <- e.Message
	return nil
}

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

// startGroup runs the instances of the group on the data folders until the
// result is called.
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

// Guards against a break anywhere between reducer, links and disk, and against a
// damaged data folder that goes unreported or stops the group: a group is
// founded, elects a leader, and does so again from its files with one damaged.
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
