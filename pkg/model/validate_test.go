package model_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against names that end a line or a field where they are written, and against
// names that receivers read differently, because they remove white space.
var _ = It("names that cannot be written as they are are invalid", func() {
	for _, name := range []string{"", "i\r\n", "i\n", "a\rb", "\x00", "a\tb", "a\x7f", "a\u0085b", " i", "i ", "\u00a0i", "\xff", strings.Repeat("x", model.MaxNameLength+1)} {
		Expect(model.ValidateName("name", name)).NotTo(Succeed(), "%q", name)
	}
	for _, name := range []string{"i-7f3a91c2", "a b", "é", "a:b/c", strings.Repeat("x", model.MaxNameLength)} {
		Expect(model.ValidateName("name", name)).To(Succeed(), "%q", name)
	}
	for _, address := range []string{"10.0.0.1:80", "[::1]:80", "u.example:65535"} {
		Expect(model.ValidateAddress(address)).To(Succeed(), "%q", address)
	}
	for _, address := range []string{"10.0.0.1", "10.0.0.1:0", "10.0.0.1:80\r\n", "a b:80", "a/b:80", "a?b:80", "a@b:80", ":80"} {
		Expect(model.ValidateAddress(address)).NotTo(Succeed(), "%q", address)
	}
})
