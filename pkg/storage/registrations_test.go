package storage_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// Guards against registrations that are read from a torn or changed file.
var _ = It("registrations are read whole or not at all", func() {
	dir := GinkgoT().TempDir()
	list, err := storage.LoadRegistrations(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(list).To(BeEmpty())
	want := []model.Registration{{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 3, StartTimeMs: 5, Sequence: 7}}
	Expect(storage.SaveRegistrations(dir, nil)).To(Succeed())
	Expect(storage.SaveRegistrations(dir, want)).To(Succeed())
	list, err = storage.LoadRegistrations(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(list).To(Equal(want))
	path := filepath.Join(dir, "registrations.cbor")
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	for i := range data {
		Expect(os.WriteFile(path, data[:i], 0o600)).To(Succeed())
		_, err := storage.LoadRegistrations(dir)
		Expect(err).To(MatchError(storage.ErrFileCorrupt))
		changed := append([]byte{}, data...)
		changed[i] ^= 1
		Expect(os.WriteFile(path, changed, 0o600)).To(Succeed())
		_, err = storage.LoadRegistrations(dir)
		Expect(err).To(MatchError(storage.ErrFileCorrupt))
	}
})
