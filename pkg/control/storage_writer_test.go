package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// reportedEvents receives the events that a StorageWriter reports.
type reportedEvents chan event.Body

// Report implements control.Sink.
func (r reportedEvents) Report(b event.Body) { r <- b }

// Guards against reporting a failed write as persisted.
var _ = It("write error is reported", func() {
	t := GinkgoTB()
	g := NewWithT(t)
	folder, err := storage.OpenFolder(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	writer, err := control.OpenStorageWriter(folder)
	g.Expect(err).NotTo(HaveOccurred())
	reported := make(reportedEvents)
	go func() { _ = writer.Run(t.Context(), reported) }()
	g.Expect((<-reported).(event.StorageLoaded).Disk).NotTo(BeEmpty())
	writer.Persist(event.Persist{Seq: 1})
	g.Expect(<-reported).To(Equal(event.Persisted{Seq: 1}))
	writer.Close() // makes the next write fail
	writer.Persist(event.Persist{Seq: 2})
	g.Expect((<-reported).(event.Persisted).Failure).To(ContainSubstring("closed"))
})
