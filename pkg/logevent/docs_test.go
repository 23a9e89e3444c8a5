package logevent_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/golden"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
)

const page = "../../docs/log-events.md"

func render() string {
	var b strings.Builder
	b.WriteString(`# Log events

Every log line carries the number of its event in the field ` + "`event`" + ` and its name in ` + "`name`" + `. Numbers are never reused.

This page is written by ` + "`go test ./pkg/logevent -update`" + `; a test compares it with the code.

| event | name | level | meaning |
|---|---|---|---|
`)
	for _, i := range logevent.Table {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", int(i.Code), i.Name, i.Level, i.Message)
	}
	return b.String()
}

// Guards against a log event that docs/log-events.md does not list, because the
// page was not written again after a change of Table.
var _ = It("docs/log-events.md lists every log event", func() {
	NewWithT(GinkgoTB()).Expect(golden.Check(page, render())).To(Succeed())
})

// Guards against two log events in Table with the same number.
var _ = It("log events have unique numbers", func() {
	g := NewWithT(GinkgoTB())
	seen := map[logevent.Code]bool{}
	for _, i := range logevent.Table {
		g.Expect(seen[i.Code]).To(BeFalse(), "event %d", int(i.Code))
		seen[i.Code] = true
	}
})
