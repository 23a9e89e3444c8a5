package anvilcrank_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// startInstanceWithUpstream runs an instance with one upstream of the service
// "reads", whose requests the handler serves.
func startInstanceWithUpstream(t *testing.T, handler http.HandlerFunc) *anvilcrank.Instance {
	upstream := httptest.NewServer(handler)
	t.Cleanup(upstream.Close)
	i, _ := startInstance(t)
	announce(t, i, "reads", upstream)
	return i
}

// truncatingHandler returns a handler that closes the connection of its first
// response after truncateAt bytes of content and serves later requests
// completely. etag returns the entity tag of the n-th response.
func truncatingHandler(content []byte, truncateAt int, etag func(n int32) string) http.HandlerFunc {
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
		_, _ = w.Write(content[:truncateAt])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// downloadContent returns about 200 kB in which each line differs.
func downloadContent() []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < 200_000; n++ {
		fmt.Fprintln(&b, n)
	}
	return b.Bytes()
}

// getItem requests an item from the service "reads" through the instance.
func getItem(t *testing.T, i *anvilcrank.Instance) (*http.Response, string, error) {
	return get(t, "http://"+i.Address()+"/s/reads/item")
}

// sameTag returns the same strong entity tag for every response.
func sameTag(int32) string { return `"tag"` }

// Guards against relaying a truncated download to the caller although the
// instance can request the missing rest from the upstream.
func TestTruncatedReadIsResumed(t *testing.T) {
	g := NewWithT(t)
	want := downloadContent()
	_, body, err := getItem(t, startInstanceWithUpstream(t, truncatingHandler(want, 70_000, sameTag)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body == string(want)).To(BeTrue())
}

// Guards against a read that fails because its response was truncated before the
// first byte of the body was relayed. The instance can still retry such a read.
func TestReadTruncatedBeforeItsBodyIsRetried(t *testing.T) {
	g := NewWithT(t)
	want := downloadContent()
	resp, body, err := getItem(t, startInstanceWithUpstream(t, truncatingHandler(want, 0, func(n int32) string { return fmt.Sprintf(`"%d"`, n) })))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Header.Get("Etag")).To(Equal(`"2"`))
	g.Expect(body == string(want)).To(BeTrue())
}

// The content changes before the instance requests the rest of a truncated
// response. Guards against two failures: the caller receives a body that combines
// both versions, or a truncated body that looks complete.
func TestChangedContentIsNotResumed(t *testing.T) {
	g := NewWithT(t)
	_, _, err := getItem(t, startInstanceWithUpstream(t, truncatingHandler(downloadContent(), 70_000, func(n int32) string { return fmt.Sprintf(`"%d"`, n) })))
	g.Expect(err).To(HaveOccurred())
}

// Guards against resuming a download whose entity tag is weak. A weak tag does
// not guarantee that the bytes are the same.
func TestWeakTagIsNotResumed(t *testing.T) {
	g := NewWithT(t)
	_, _, err := getItem(t, startInstanceWithUpstream(t, truncatingHandler(downloadContent(), 70_000, func(int32) string { return `W/"tag"` })))
	g.Expect(err).To(HaveOccurred())
}
