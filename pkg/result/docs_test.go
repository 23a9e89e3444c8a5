package result_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/golden"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const page = "../../docs/results.md"

func render() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Every answer that anvilcrank itself makes carries a code in the ` + "`Anvilcrank-Code`" + ` header and in its JSON body. The class
says what the code implies: with ` + "`not_run`" + ` the work provably did not run and may be sent again; with
` + "`outcome_unknown`" + ` it may have run; with ` + "`conflict`" + ` another change took effect instead.

This page is written by ` + "`go test ./pkg/result -update`" + `; a test compares it with the code.

| code | name | class | HTTP status | meaning |
|---|---|---|---|---|
`)
	for _, i := range result.Table {
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s |\n", int(i.Code), i.Name, i.Class, i.Status, i.Message)
	}
	return b.String()
}

// Guards against a result code that callers receive but that docs/results.md does
// not list, because the page was not written again after a change of Table.
var _ = It("docs/results.md lists every result code", func() {
	NewWithT(GinkgoTB()).Expect(golden.Check(page, render())).To(Succeed())
})

// Guards against two result codes in Table with the same number or name. Also
// guards against a result code whose class or HTTP status contradicts its category.
var _ = It("result codes are unique and have the class and HTTP status of their category", func() {
	g := NewWithT(GinkgoTB())
	seen := map[result.Code]bool{}
	names := map[string]bool{}
	for _, i := range result.Table {
		g.Expect(seen[i.Code]).To(BeFalse(), "%v", i.Code)
		g.Expect(names[i.Name]).To(BeFalse(), i.Name)
		seen[i.Code], names[i.Name] = true, true
		if i.Code >= 3000 && i.Code < 4000 {
			g.Expect(i.Class).To(Equal(result.OutcomeUnknown))
			g.Expect(i.Status).To(BeElementOf(502, 504))
		}
		if i.Code >= 2000 && i.Code < 3000 {
			g.Expect(i.Class).To(Equal(result.NotRun))
			g.Expect(i.Status).To(Equal(503))
		}
	}
})
