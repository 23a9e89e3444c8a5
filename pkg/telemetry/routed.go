package telemetry

import (
	"strconv"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// maxRoutes is how many routes have histograms of their own. All further routes
// share the label value otherName.
const maxRoutes = 256

// ObserveRoutedRequest records the latency and the result code of a routed
// request.
func (t *Telemetry) ObserveRoutedRequest(route, kind string, code result.Code, elapsed time.Duration) {
	t.mu.Lock()
	route = boundedName(t.routes, route, maxRoutes)
	t.mu.Unlock()
	t.metricSet.GetOrCreateHistogram(`anvilcrank_routed_seconds{route=` + quoteLabelValue(route) + `,kind=` + quoteLabelValue(kind) + `}`).Update(elapsed.Seconds())
	t.metricSet.GetOrCreateCounter(`anvilcrank_results_total{code="` + strconv.Itoa(int(code)) + `"}`).Inc()
}
