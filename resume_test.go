package anvilcrank_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// startInstance runs one instance with an upstream that answers by handler.
func startInstance(t *testing.T, handler http.HandlerFunc) *anvilcrank.Instance {
	g := NewWithT(t)
	profile := settings.Profile{Name: "p", Class: "short", Repeat: model.RepeatFreely, MaxAttempts: 3,
		Deadline: settings.Duration(5 * time.Second), QueueLimit: 10, Spill: model.SpillAny}
	i, err := anvilcrank.New(&settings.Settings{Instance: "i", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		RecordEvents: settings.DefaultRecordEvents,
		Bootstrap: &settings.Bootstrap{Zones: []settings.Zone{{Zone: "z", Region: "r"}}, Roster: []settings.Member{{ID: "i", Zone: "z"}},
			Profiles: []settings.Profile{profile}, Services: []settings.Service{{Name: "catalogue", Profile: "p"}}},
	}, anvilcrank.Options{Logger: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = i.Run(ctx)
	}()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	for _, first := range []bool{true, false} {
		body, _ := json.Marshal(model.Announcement{Upstream: "u", Incarnation: 1, Service: "catalogue", Zone: "z",
			Address: server.Listener.Addr().String(), Slots: 2, Connections: 10, State: model.Serving, First: first})
		resp, err := http.Post("http://"+i.Address()+"/v1/announce", "application/json", bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_ = resp.Body.Close()
	}
	return i
}

// breakingHandler breaks the first response off after some bytes.
func breakingHandler(content []byte, breakAt int, etag func(n int32) string) http.HandlerFunc {
	var calls atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == proxy.CancelPath {
			_, _ = io.WriteString(w, `{"state":"stopped"}`)
			return
		}
		n := calls.Add(1)
		w.Header().Set("Etag", etag(n))
		if n > 1 {
			http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
			return
		}
		w.Header().Set("Accept-Ranges", "bytes")
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(content[:breakAt])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func content() []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < 200_000; n++ {
		fmt.Fprintln(&b, n)
	}
	return b.Bytes()
}

func get(t *testing.T, i *anvilcrank.Instance) (*http.Response, []byte, error) {
	resp, err := http.Get("http://" + i.Address() + "/s/catalogue/item")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func sameTag(int32) string { return `"tag"` }

// Guards against a download that breaks off although the rest can be fetched.
func TestTruncatedReadIsResumed(t *testing.T) {
	g := NewWithT(t)
	want := content()
	_, body, err := get(t, startInstance(t, breakingHandler(want, 70_000, sameTag)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(body, want)).To(BeTrue())
}

// Guards against a read that fails although no byte of it was sent on.
func TestReadThatBreaksBeforeItsBodyIsRetried(t *testing.T) {
	g := NewWithT(t)
	want := content()
	resp, body, err := get(t, startInstance(t, breakingHandler(want, 0, func(n int32) string { return fmt.Sprintf(`"%d"`, n) })))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Header.Get("Etag")).To(Equal(`"2"`))
	g.Expect(bytes.Equal(body, want)).To(BeTrue())
}

// Guards against a body that is put together from two versions, or ends as if
// it were whole.
func TestChangedContentIsNotResumed(t *testing.T) {
	g := NewWithT(t)
	_, _, err := get(t, startInstance(t, breakingHandler(content(), 70_000, func(n int32) string { return fmt.Sprintf(`"%d"`, n) })))
	g.Expect(err).To(HaveOccurred())
}

// Guards against a weak tag, which does not say that the bytes are the same,
// being used to resume.
func TestWeakTagIsNotResumed(t *testing.T) {
	g := NewWithT(t)
	_, _, err := get(t, startInstance(t, breakingHandler(content(), 70_000, func(int32) string { return `W/"tag"` })))
	g.Expect(err).To(HaveOccurred())
}
