package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// reports passes on what the storer reports.
type reports chan event.Body

// Report implements control.Sink.
func (r reports) Report(b event.Body) { r <- b }

// Guards against a failed write that is reported as synced.
var _ = It("write error is reported", func() {
	t := GinkgoTB()
	g := NewWithT(t)
	folder, err := storage.Folder(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	s, err := control.OpenStorer(folder)
	g.Expect(err).NotTo(HaveOccurred())
	r := make(reports)
	go func() { _ = s.Run(t.Context(), r) }()
	g.Expect((<-r).(event.StorageLoaded).Disk).NotTo(BeEmpty())
	s.Persist(event.Persist{Seq: 1})
	g.Expect(<-r).To(Equal(event.Persisted{Seq: 1}))
	s.Close() // the next write meets a closed file
	s.Persist(event.Persist{Seq: 2})
	g.Expect((<-r).(event.Persisted).Failure).To(ContainSubstring("closed"))
})
