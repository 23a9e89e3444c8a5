package codec_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against a message field that is lost between encoding and decoding.
var _ = It("decoded message equals the encoded one", func() {
	g := NewWithT(GinkgoTB())
	in := &message.Hello{From: "gulf-a-1", Incarnation: 7, Zone: "gulf-a", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}
	data, err := codec.EncodeMessage(in)
	g.Expect(err).NotTo(HaveOccurred())
	out, err := codec.DecodeMessage(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(in))
})

// Guards against membership messages that exceed their share of the 15 KB/s
// that a node may send: a ping with 8 updates must stay below 1400 bytes.
// Guards also against losing a field of Member between encoding and decoding.
var _ = It("membership ping stays below its size limit", func() {
	g := NewWithT(GinkgoTB())
	m := message.Member{ID: "bhairahawa-entry-12", Incarnation: 1 << 60, Revision: 3, Status: message.MemberSuspect,
		Leaving: true, Zone: "bhairahawa", Address: "255.255.255.255:65535", PeerAddress: "255.255.255.255:65534"}
	in := &message.MemberPing{Seq: 1 << 40, From: m, Updates: slices.Repeat([]message.Member{m}, 8)}
	data, err := codec.EncodeMessage(in)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", 1400))
	out, err := codec.DecodeMessage(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(in))
})

// Guards against an event type that cannot be recorded and replayed.
var _ = It("every event type can be encoded and decoded", func() {
	g := NewWithT(GinkgoTB())
	for _, body := range event.Bodies {
		if _, ok := body.(event.PeerReceived); ok {
			body = event.PeerReceived{From: "a", Message: &message.Hello{From: "a"}}
		}
		in := event.Event{At: 5, Body: body}
		data, err := codec.EncodeEvent(in)
		g.Expect(err).NotTo(HaveOccurred())
		out, err := codec.DecodeEvent(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out).To(Equal(in))
	}
})

// Guards against a crash of the process on a malformed message from a faulty or
// malicious peer.
func FuzzDecodeMessage(f *testing.F) {
	data, _ := codec.EncodeMessage(&message.Hello{From: "a", Zone: model.Zone("z")})
	f.Add(data)
	f.Add([]byte{0x82, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := codec.DecodeMessage(data)
		if err == nil && m == nil {
			t.Fatal("no message and no error")
		}
	})
}

// Guards against a crash of the process on a damaged recording.
func FuzzDecodeEvent(f *testing.F) {
	data, _ := codec.EncodeEvent(event.Event{At: 1, Body: event.TimerFired{}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		ev, err := codec.DecodeEvent(data)
		if err == nil && ev.Body == nil {
			t.Fatal("no event and no error")
		}
	})
}
