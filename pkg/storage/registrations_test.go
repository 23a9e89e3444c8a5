package storage_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

func registration(id string, sequence uint64) model.Registration {
	return model.Registration{ID: model.UpstreamID(id), Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 3, StartTimeMs: 5, Sequence: sequence}
}

// storedRegistrations returns what a data folder holds.
func storedRegistrations(dir string) ([]model.Registration, error) {
	return storage.NewRegistrations(dir).Load()
}

// Guards against registrations that are read from a torn or changed file.
var _ = It("registrations are read whole or not at all", func() {
	dir := GinkgoT().TempDir()
	r := storage.NewRegistrations(dir)
	defer r.Close()
	list, err := r.Load()
	Expect(err).NotTo(HaveOccurred())
	Expect(list).To(BeEmpty())
	want := []model.Registration{registration("u", 7)}
	Expect(r.Replace(nil)).To(Succeed())
	Expect(r.Replace(want)).To(Succeed())
	Expect(storedRegistrations(dir)).To(Equal(want))
	path := filepath.Join(dir, "registrations.cbor")
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	for i := range data {
		Expect(os.WriteFile(path, data[:i], 0o600)).To(Succeed())
		list, err := storedRegistrations(dir)
		Expect(err).To(MatchError(storage.ErrFileCorrupt))
		Expect(list).To(BeEmpty())
		changed := append([]byte{}, data...)
		changed[i] ^= 1
		Expect(os.WriteFile(path, changed, 0o600)).To(Succeed())
		list, err = storedRegistrations(dir)
		Expect(err).To(MatchError(storage.ErrFileCorrupt))
		Expect(list).To(BeEmpty())
	}
})

// Guards against appended registrations that are lost or read changed after a crash
// that tore the last append, and after the file was replaced.
var _ = It("appended registrations survive a torn append", func() {
	dir := GinkgoT().TempDir()
	r := storage.NewRegistrations(dir)
	_, err := r.Load()
	Expect(err).NotTo(HaveOccurred())
	u1, u2, u3 := registration("u1", 1), registration("u2", 2), registration("u3", 3)
	Expect(r.Replace([]model.Registration{u1})).To(Succeed())
	Expect(r.Append([]model.Registration{u2})).To(Succeed())
	path := filepath.Join(dir, "registrations.log")
	first, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Append([]model.Registration{u3, u1})).To(Succeed())
	Expect(storedRegistrations(dir)).To(Equal([]model.Registration{u1, u2, u3, u1}))
	both, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	for i := len(first); i < len(both); i++ {
		Expect(os.WriteFile(path, both[:i], 0o600)).To(Succeed())
		Expect(storedRegistrations(dir)).To(Equal([]model.Registration{u1, u2}))
		changed := append([]byte{}, both...)
		changed[i] ^= 1
		Expect(os.WriteFile(path, changed, 0o600)).To(Succeed())
		list, err := storedRegistrations(dir)
		Expect(list).To(Equal([]model.Registration{u1, u2}))
		Expect(err).To(MatchError(storage.ErrCorrupt))
	}
	// An append after a torn one takes its place.
	Expect(os.WriteFile(path, both[:len(both)-3], 0o600)).To(Succeed())
	reopened := storage.NewRegistrations(dir)
	list, err := reopened.Load()
	Expect(err).NotTo(HaveOccurred())
	Expect(list).To(Equal([]model.Registration{u1, u2}))
	Expect(reopened.Append([]model.Registration{u3})).To(Succeed())
	Expect(storedRegistrations(dir)).To(Equal([]model.Registration{u1, u2, u3}))
	Expect(reopened.Replace([]model.Registration{u3})).To(Succeed())
	Expect(storedRegistrations(dir)).To(Equal([]model.Registration{u3}))
	Expect(reopened.Append([]model.Registration{u2})).To(Succeed())
	Expect(storedRegistrations(dir)).To(Equal([]model.Registration{u3, u2}))
	reopened.Close()
})

// Guards against an append that is reported as synced although the folder is gone, and
// against a store that stays unusable after that.
var _ = It("failed append is reported and does not affect later ones", func() {
	dir := filepath.Join(GinkgoT().TempDir(), "data")
	r := storage.NewRegistrations(dir)
	_, err := r.Load()
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Append([]model.Registration{registration("u1", 1)})).NotTo(Succeed())
	Expect(r.Replace(nil)).NotTo(Succeed())
	Expect(os.Mkdir(dir, 0o700)).To(Succeed())
	Expect(r.Append([]model.Registration{registration("u2", 1)})).To(Succeed())
	Expect(storedRegistrations(dir)).To(Equal([]model.Registration{registration("u2", 1)}))
	r.Close()
})
