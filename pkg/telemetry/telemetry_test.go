package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

// Guards against memory use that grows with the number of distinct names that
// callers send. Guards also against names with characters that break the
// Prometheus text format.
var _ = It("number of label values from callers is limited", func() {
	g := NewWithT(GinkgoTB())
	tel := telemetry.New("a-1", &log.Logger{Handler: discard.New()})
	tel.ObserveRequest("quote\"\n", "s", model.Short, result.Success, time.Millisecond)
	for n := range 2000 {
		tel.ObserveRequest(model.Tenant(fmt.Sprint("t", n)), model.ServiceName(fmt.Sprint("s", n)), model.Short, result.UnknownService, time.Millisecond)
	}
	var out bytes.Buffer
	tel.WriteMetrics(&out)
	text := out.String()
	g.Expect(text).To(ContainSubstring(`tenant="quote__"`))
	g.Expect(text).To(ContainSubstring(`tenant="other",service="other"`))
	g.Expect(strings.Count(text, "request_seconds_count")).To(BeNumerically("<=", 300))
})
