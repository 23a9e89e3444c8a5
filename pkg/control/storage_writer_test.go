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

// runStorageWriter starts a writer with an empty data folder.
func runStorageWriter() (*control.StorageWriter, reportedEvents) {
	t := GinkgoTB()
	g := NewWithT(t)
	folder, err := storage.OpenFolder(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	writer, err := control.OpenStorageWriter(folder)
	g.Expect(err).NotTo(HaveOccurred())
	reported := make(reportedEvents)
	go func() { _ = writer.Run(t.Context(), reported) }()
	return writer, reported
}

// Guards against reporting a failed write as persisted.
var _ = It("write error is reported", func() {
	g := NewWithT(GinkgoTB())
	writer, reported := runStorageWriter()
	g.Expect((<-reported).(event.StorageLoaded).Disk).NotTo(BeEmpty())
	writer.Persist(event.Persist{Seq: 1})
	g.Expect(<-reported).To(Equal(event.Persisted{Seq: 1}))
	writer.Close() // makes the next write fail
	writer.Persist(event.Persist{Seq: 2})
	g.Expect((<-reported).(event.Persisted).Failure).To(ContainSubstring("closed"))
})

// Guards against a member of the control group that stays without its data folder
// for good after one failed write.
var _ = It("data folder is usable again after it was reopened", func() {
	g := NewWithT(GinkgoTB())
	writer, reported := runStorageWriter()
	disk := (<-reported).(event.StorageLoaded).Disk
	writer.Persist(event.Persist{Seq: 1, Hard: event.HardState{Term: 3}})
	g.Expect(<-reported).To(Equal(event.Persisted{Seq: 1}))
	writer.Close() // makes the next write fail
	writer.Persist(event.Persist{Seq: 2, Hard: event.HardState{Term: 4}})
	g.Expect((<-reported).(event.Persisted).Failure).NotTo(BeEmpty())
	writer.Reopen()
	loaded := (<-reported).(event.StorageLoaded)
	g.Expect(loaded.Failure).To(BeEmpty())
	g.Expect(loaded.Disk).To(Equal(disk))
	g.Expect(loaded.Hard.Term).To(BeEquivalentTo(3))
	writer.Persist(event.Persist{Seq: 1, Hard: event.HardState{Term: 5}})
	g.Expect(<-reported).To(Equal(event.Persisted{Seq: 1}))
})
