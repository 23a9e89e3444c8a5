package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// encodeFor returns the bytes that an exchange sends to an upstream for a request that a
// caller wrote, nil if nothing is sent or the request cannot be read. It also returns the
// request as the caller meant it.
func encodeFor(raw []byte, upstream string) (sent []byte, meant *http.Request, body []byte) {
	meant, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, nil, nil
	}
	if body, err = io.ReadAll(meant.Body); err != nil {
		return nil, nil, nil
	}
	now := func() model.Time { return model.Time(time.Now().UnixNano()) }
	e := &exchange{gateway: New(DefaultHeaders, discardTelemetry{}, now, nil), request: meant, bufferedBody: body}
	sent, err = e.encodeRequest(&event.Forward{Upstream: model.UpstreamID(upstream), Deadline: now().Add(time.Minute)})
	if err != nil {
		return nil, meant, body
	}
	return sent, meant, body
}

// Whatever a registration and a caller contain, the bytes that leave must be exactly the
// request that the caller meant, or none: an identifier with a line end would end the
// head, and deposits would run with an empty body.
func FuzzEncodeRequest(f *testing.F) {
	deposit := "POST /wu5/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 7\r\nA: b\r\n\r\ndeposit"
	for _, id := range []string{"i-7f3a91c2", "i\r\n", "i\n", "i\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", " i", "i ", "i\x00", "i\x7f", "", "é", "\xff"} {
		f.Add([]byte(deposit), id)
	}
	f.Add([]byte("GET /a%0d%0ab?c=%0a HTTP/1.1\r\nHost: h\r\nCookie: a\r\nCookie: b\r\n\r\n"), "i")
	f.Add([]byte("GET http://x/a HTTP/1.1\r\nHost: h\r\nAnvilcrank-Upstream: other\r\n\r\n"), "i")
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), "i")
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nA:\tb\x01c\r\n\r\n"), "i")
	f.Fuzz(func(t *testing.T, raw []byte, upstream string) {
		sent, meant, body := encodeFor(raw, upstream)
		if sent == nil {
			return
		}
		g := NewWithT(t)
		reader := bufio.NewReader(bytes.NewReader(sent))
		got, err := http.ReadRequest(reader)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Method).To(Equal(meant.Method))
		g.Expect(got.URL.RequestURI()).To(Equal(meant.URL.RequestURI()))
		g.Expect(got.Host).To(Equal(meant.Host))
		g.Expect(got.Header[DefaultHeaders.TargetUpstream]).To(Equal([]string{upstream}))
		gotBody, err := io.ReadAll(got.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotBody).To(Equal(body))
		_, err = reader.ReadByte()
		g.Expect(err).To(MatchError(io.EOF))
		want := endToEndHeaders(meant.Header)
		for name := range got.Header {
			switch name {
			case DefaultHeaders.TargetUpstream, DefaultHeaders.Remaining, "Content-Length":
			default:
				g.Expect(got.Header[name]).To(Equal(want[name]), name)
			}
		}
	})
}

// An identifier that cannot be written must end the send before anything is sent, so that
// the request can go to another upstream.
func TestIdentifierWithALineEndIsNotSent(t *testing.T) {
	g := NewWithT(t)
	sent, _, _ := encodeFor([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"), "i\r\n")
	g.Expect(sent).To(BeNil())
	var w headWriter
	w.field("A", "b")
	g.Expect(w.err).NotTo(HaveOccurred())
	w.field("A", "b\r\nC: d")
	var unsafe errUnsafeHead
	g.Expect(errors.As(w.err, &unsafe)).To(BeTrue())
	g.Expect(strings.ContainsAny(w.err.Error(), "\r\n")).To(BeFalse())
}
