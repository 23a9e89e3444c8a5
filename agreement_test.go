package anvilcrank_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

var group = []model.InstanceID{"a", "b", "c"}

// deadline bounds the wait for a log event.
const deadline = 20 * time.Second

// eventLog passes on the names of log events.
type eventLog chan string

// HandleLog implements log.Handler.
func (l eventLog) HandleLog(e *log.Entry) error {
	select {
	case l <- e.Message:
	default:
	}
	return nil
}

func (l eventLog) await(t *testing.T, message string) {
	t.Helper()
	timeout := time.After(deadline)
	for {
		select {
		case m := <-l:
			if m == message {
				return
			}
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
	for _, id := range group {
		i, err := anvilcrank.New(&settings.Settings{
			Instance: id, Zone: model.Zone("zone-" + id), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			Peers: peers, Data: filepath.Join(data, string(id)), ControlGroup: group, RecordEvents: 1000,
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

// Guards against a break anywhere between reducer, links and disk: a group is
// founded, elects a leader, and does so again from its files.
func TestGroupElectsLeaderAndRestarts(t *testing.T) {
	data := t.TempDir()
	events := make(eventLog, 1000)
	stop := startGroup(t, data, events)
	events.await(t, "this instance founded the control group")
	events.await(t, "this instance leads the control group")
	stop()
	events = make(eventLog, 1000)
	stop = startGroup(t, data, events)
	events.await(t, "this instance leads the control group")
	stop()
}

// Guards against a group that stops, or an instance that does not start, because
// one data folder is damaged; the damaged folder must be reported.
func TestDamagedFolderIsReported(t *testing.T) {
	g := NewWithT(t)
	data := t.TempDir()
	events := make(eventLog, 1000)
	stop := startGroup(t, data, events)
	events.await(t, "this instance leads the control group")
	stop()
	g.Expect(os.WriteFile(filepath.Join(data, "c", "log"), []byte("damaged"), 0o600)).To(Succeed())
	events = make(eventLog, 1000)
	stop = startGroup(t, data, events)
	events.await(t, "the data folder cannot be used; this member of the control group no longer votes")
	events.await(t, "this instance leads the control group")
	stop()
}

// Guards against two processes on one data folder.
func TestFolderInUseIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := &settings.Settings{Instance: "a", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Data: t.TempDir(), ControlGroup: []model.InstanceID{"a"}, LogLevel: "error"}
	first, err := anvilcrank.New(s, anvilcrank.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = anvilcrank.New(s, anvilcrank.Options{})
	g.Expect(errors.Is(err, storage.ErrLocked)).To(BeTrue())
	first.Close()
}
