package storage_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// Guards against losing a saved configuration. Guards also against loading a
// part of a configuration from a file that is truncated or has a flipped bit;
// such a file must be rejected.
var _ = It("damaged configuration file is rejected", func() {
	t := GinkgoTB()
	g := NewWithT(t)
	dir := t.TempDir()
	c, err := storage.LoadConfig(dir)
	g.Expect(c, err).To(BeNil())
	want := &model.Config{Version: 9, Zones: []model.ZoneInfo{{Zone: "a", Region: "r"}}}
	g.Expect(storage.SaveConfig(dir, &model.Config{Version: 8})).To(Succeed())
	g.Expect(storage.SaveConfig(dir, want)).To(Succeed())
	c, err = storage.LoadConfig(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Version).To(Equal(want.Version))
	g.Expect(c.Zones).To(Equal(want.Zones))
	path := filepath.Join(dir, "config.cbor")
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range data {
		g.Expect(os.WriteFile(path, data[:i], 0o600)).To(Succeed())
		_, err = storage.LoadConfig(dir)
		g.Expect(err).To(MatchError(storage.ErrConfigCorrupt), "cut at %d", i)
		flipped := append([]byte(nil), data...)
		flipped[i] ^= 0x10
		g.Expect(os.WriteFile(path, flipped, 0o600)).To(Succeed())
		_, err = storage.LoadConfig(dir)
		g.Expect(err).To(MatchError(storage.ErrConfigCorrupt), "flipped at %d", i)
	}
})
