package model_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against a key that is parsed with a wrong home zone or a negative issue
// time, and against a panic on malformed input.
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

// Guards against accepting malformed keys. Without a home zone or an issue time,
// the ledger could not determine where and how long to store a key. Without enough
// random characters, the keys of two requests could be equal.
var _ = DescribeTable("rejects malformed keys", func(text string) {
	_, err := model.ParseKey(text)
	Expect(err).To(HaveOccurred())
},
	Entry("empty", ""),
	Entry("no zone", ".1764842400000.0123456789"),
	Entry("no time", "gulf-a.soon.0123456789"),
	Entry("negative time", "gulf-a.-1.0123456789"),
	Entry("time out of range", "gulf-a.99999999999999999.0123456789"),
	Entry("too few random characters", "gulf-a.1764842400000.012"),
	Entry("too long", "gulf-a.1764842400000."+strings.Repeat("0", 300)),
)
