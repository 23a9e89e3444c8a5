package control_test

import (
	"context"
	"os"
	"path/filepath"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

// Guards against registrations that are reported as persisted before they are synced or
// although the write failed, and against calls of Persist that get no result.
var _ = It("registrations are reported as persisted once they are on disk", func() {
	dir := filepath.Join(GinkgoT().TempDir(), "data")
	Expect(os.Mkdir(dir, 0o700)).To(Succeed())
	f := control.NewRegistrationFile(dir, telemetry.New("test", &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}))
	events := make(reportedEvents, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx, events) }()
	var body event.Body
	Eventually(events).Should(Receive(&body))
	Expect(body).To(Equal(event.RegistrationsLoaded{}))

	u := func(id string) []model.Registration { return []model.Registration{{ID: model.UpstreamID(id)}} }
	persisted := func(seq uint64, ids ...string) {
		GinkgoHelper()
		for latest := uint64(0); latest < seq; {
			Eventually(events).Should(Receive(&body))
			result := body.(event.RegistrationsPersisted)
			Expect(result.Failure).To(BeEmpty())
			Expect(result.Seq).To(BeNumerically(">", latest))
			latest = result.Seq
		}
		list, err := storage.NewRegistrations(dir).Load()
		Expect(err).NotTo(HaveOccurred())
		held := map[model.UpstreamID]bool{}
		for _, r := range list {
			held[r.ID] = true
		}
		for _, id := range ids {
			Expect(held).To(HaveKey(model.UpstreamID(id)))
		}
	}
	f.Persist(event.PersistRegistrations{Seq: 1, Registrations: u("a")})
	persisted(1, "a")
	f.Persist(event.PersistRegistrations{Seq: 2, Registrations: u("b")})
	f.Save(event.SaveRegistrations{Registrations: append(u("a"), u("b")...)})
	f.Persist(event.PersistRegistrations{Seq: 3, Registrations: u("c")})
	persisted(3, "a", "b", "c")

	Expect(os.RemoveAll(dir)).To(Succeed())
	f.Save(event.SaveRegistrations{Registrations: u("a")})
	f.Persist(event.PersistRegistrations{Seq: 4, Registrations: u("d")})
	Eventually(events).Should(Receive(&body))
	Expect(body).To(And(HaveField("Seq", BeEquivalentTo(4)), HaveField("Failure", Not(BeEmpty()))))
})
