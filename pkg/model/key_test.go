package model_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against a key whose home zone or issue time is not what its caller
// wrote, and against a crash on any key.
func FuzzParseKey(f *testing.F) {
	f.Add("gulf-a.1764842400000.0123456789abcdef")
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := model.ParseKey(text)
		if err != nil {
			return
		}
		if key.Home == "" || key.Issued < 0 || !strings.HasPrefix(text, string(key.Home)+".") {
			t.Fatalf("%q gave %+v", text, key)
		}
	})
}

// Guards against keys that are accepted although their issue time or their
// randomness is missing, so that a ledger could not place them.
var _ = DescribeTable("rejects keys of another form", func(text string) {
	_, err := model.ParseKey(text)
	Expect(err).To(HaveOccurred())
},
	Entry("empty", ""),
	Entry("no zone", ".1764842400000.0123456789"),
	Entry("no time", "gulf-a.soon.0123456789"),
	Entry("negative time", "gulf-a.-1.0123456789"),
	Entry("time beyond any clock", "gulf-a.99999999999999999.0123456789"),
	Entry("few random characters", "gulf-a.1764842400000.012"),
	Entry("too long", "gulf-a.1764842400000."+strings.Repeat("0", 300)),
)
