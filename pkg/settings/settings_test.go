package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

const valid = `instance: gulf-a-1
zone: gulf-a
listen: 127.0.0.1:7001
peer_listen: 127.0.0.1:7101
peers: [127.0.0.1:7102]
bootstrap:
  zones: [{zone: gulf-a, region: gulf}]
  roster: [{id: gulf-a-1, zone: gulf-a}]
  profiles:
    - {name: p, class: short, repeat: never, max_attempts: 1, deadline: 3s, queue_limit: 5, spill: any}
  services: [{name: catalogue, profile: p}]
`

// Guards against settings errors without file, line or key.
var _ = Describe("errors contain the file, line and key", func() {
	cases := []struct {
		name, old, new string
		line           int
		key            string
	}{
		{"unknown key", "zone: gulf-a\nlisten", "zome: gulf-a\nlisten", 2, "zome"},
		{"memory that cannot be enough", "zone: gulf-a\nlisten", "zone: gulf-a\nmemory_mb: 5\nlisten", 3, "memory_mb"},
		{"host name instead of IP", "listen: 127.0.0.1:7001", "listen: localhost:7001", 3, "listen"},
		{"peer without port", "[127.0.0.1:7102]", "[127.0.0.1]", 5, "peers[0]"},
		{"duration without unit", "deadline: 3s", "deadline: 3", 10, "bootstrap.profiles[0].deadline"},
		{"unknown profile", "profile: p}", "profile: q}", 11, "bootstrap.services[0]"},
		{"zone missing", "zone: gulf-a\nlisten", "listen", 1, "zone"},
	}
	for _, c := range cases {
		It(c.name, func() {
			g := NewWithT(GinkgoTB())
			text := strings.Replace(valid, c.old, c.new, 1)
			g.Expect(text).NotTo(Equal(valid))
			_, err := settings.Parse("a.yaml", []byte(text))
			var key *settings.KeyError
			g.Expect(errors.As(err, &key)).To(BeTrue(), "%v", err)
			g.Expect(key.File).To(Equal("a.yaml"))
			g.Expect(key.Line).To(Equal(c.line), "%v", err)
			g.Expect(key.Key).To(Equal(c.key), "%v", err)
		})
	}
})

// Guards against example settings that no longer load.
var _ = It("example settings files can be loaded", func() {
	g := NewWithT(GinkgoTB())
	files, err := filepath.Glob("../../examples/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		_, err := settings.Load(f)
		g.Expect(err).NotTo(HaveOccurred())
	}
})

// Guards against a rate in bits per second that is read as bytes per second.
var _ = It("rate in bits per second is converted to bytes per second", func() {
	g := NewWithT(GinkgoTB())
	var r settings.Rate
	g.Expect(r.UnmarshalText([]byte("280Mbit/s"))).To(Succeed())
	g.Expect(r).To(Equal(settings.Rate(35_000_000)))
	g.Expect(r.UnmarshalText([]byte("280MB/s"))).NotTo(Succeed())
})

// Guards against a crash of the process on a malformed settings file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	example, err := os.ReadFile("../../examples/one-zone.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("a.yaml", data)
		if err == nil && s == nil {
			t.Fatal("no settings and no error")
		}
	})
}
