package codec_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
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

// rawRecords is a message.Records with records of any content.
type rawRecords struct {
	Registrations []any `cbor:"3,keyasint"`
	Complete      bool  `cbor:"5,keyasint"`
}

// Guards against instances that stop following others, because a message contains
// one record that they cannot decode. It may come from an instance of another
// version.
var _ = DescribeTable("records beside one that cannot be decoded take effect", func(odd any) {
	g := NewWithT(GinkgoTB())
	good := model.Registration{ID: "good", Service: "reads", Address: "10.0.0.1:80", Zone: "z", Slots: 3}
	body, err := cbor.Marshal(rawRecords{Registrations: []any{good, odd, good}, Complete: true})
	g.Expect(err).NotTo(HaveOccurred())
	data, err := cbor.Marshal([]any{message.KindRecords, cbor.RawMessage(body)})
	g.Expect(err).NotTo(HaveOccurred())
	m, err := codec.DecodeMessage(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(Equal(&message.Records{Registrations: []model.Registration{good, good}, Complete: true, Undecodable: 1}))
},
	Entry("number beyond the type", map[int]any{1: "odd", 5: uint64(1<<64 - 1)}),
	Entry("number instead of a name", map[int]any{1: 7}),
	Entry("state beyond the type", map[int]any{1: "odd", 6: 300}),
	Entry("very deep nesting", map[int]any{1: "odd", 99: nested(5000)}),
	Entry("no record at all", "odd"),
)

// nested returns arrays that are nested to the given depth.
func nested(depth int) cbor.RawMessage {
	return append(bytes.Repeat([]byte{0x81}, depth), 0)
}

// Guards against a name that is not valid UTF-8 and makes all later messages,
// snapshots and commands that contain it unreadable.
var _ = It("names that are not valid UTF-8 can be decoded", func() {
	g := NewWithT(GinkgoTB())
	in := &message.Records{Evacuations: []model.Evacuation{{Zone: "\xff", Active: true}}, Registrations: []model.Registration{{ID: "\xfe"}}}
	data, err := codec.EncodeMessage(in)
	g.Expect(err).NotTo(HaveOccurred())
	out, err := codec.DecodeMessage(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(in))
	command, err := codec.CommandCodec{}.EncodeCommand(&catalog.Command{Evacuation: &in.Evacuations[0]})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = codec.CommandCodec{}.DecodeCommand(command)
	g.Expect(err).NotTo(HaveOccurred())
})

// Guards against a crash of the process on a malformed message from a faulty or
// malicious peer.
func FuzzDecodeMessage(f *testing.F) {
	data, _ := codec.EncodeMessage(&message.Hello{From: "a", Zone: model.Zone("z")})
	f.Add(data)
	f.Add([]byte{0x82, 0x01, 0xff})
	records, _ := codec.EncodeMessage(&message.Records{Registrations: []model.Registration{{ID: "u", Slots: 1}}, Items: []model.Item{{Version: 1}}})
	f.Add(records)
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
