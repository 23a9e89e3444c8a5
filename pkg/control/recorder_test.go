package control_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/state"
)

// recordingWriter calls onWrite during each write.
type recordingWriter struct {
	bytes.Buffer
	onWrite func()
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.onWrite()
	return w.Buffer.Write(p)
}

// Guards against a control goroutine that waits for the writer of a recording.
var _ = It("events are recorded while a recording is written", func() {
	r := control.NewRecorder(state.Identity{ID: "a"}, 4)
	for at := range 6 {
		r.Record(event.Event{At: model.Time(at), Body: event.TimerFired{}}, nil)
	}
	recorded := make(chan struct{}, 16)
	w := &recordingWriter{onWrite: func() {
		done := make(chan struct{})
		go func() {
			r.Record(event.Event{At: 9, Body: event.TimerFired{}}, nil)
			close(done)
		}()
		select {
		case <-done:
			recorded <- struct{}{}
		case <-time.After(2 * time.Second):
		}
	}}
	_, err := r.WriteTo(w)
	Expect(err).NotTo(HaveOccurred())
	Expect(recorded).To(HaveLen(5), "the header and four events were written")
	report, err := control.Replay(&w.Buffer)
	Expect(err).NotTo(HaveOccurred())
	Expect(report.Events).To(Equal(4))
	Expect(report.Dropped).To(BeEquivalentTo(2))
})
