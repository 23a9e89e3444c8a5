package telemetry

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Callers choose tenant and service names, and each histogram costs memory, so
// the number of names with separate histograms is limited.
const (
	maxTenants  = 256
	maxServices = 256
	// otherName is the label value of all names beyond the limit.
	otherName = "other"
)

// Telemetry writes the log and collects the metrics of an instance.
type Telemetry struct {
	logger       log.Interface
	metricSet    *metrics.Set
	counters     [event.NumCounters]*metrics.Counter
	lineLimiter  lineLimiter
	skippedLines *metrics.Counter

	// mu guards the fields below.
	mu         sync.RWMutex
	histograms map[requestLabels]*metrics.Histogram
	tenants    map[model.Tenant]bool
	services   map[model.ServiceName]bool
	routes     map[string]bool
}

// requestLabels are the labels of a histogram of request latencies.
type requestLabels struct {
	tenant  model.Tenant
	service model.ServiceName
	class   model.Class
}

// New returns the telemetry of an instance. It writes log events to the logger.
func New(instance model.InstanceID, logger log.Interface) *Telemetry {
	t := &Telemetry{
		logger:     logger.WithField("instance", instance),
		metricSet:  metrics.NewSet(),
		histograms: map[requestLabels]*metrics.Histogram{},
		tenants:    map[model.Tenant]bool{},
		services:   map[model.ServiceName]bool{},
		routes:     map[string]bool{},
	}
	t.skippedLines = t.metricSet.NewCounter("anvilcrank_log_lines_skipped_total")
	for c := event.Counter(0); c < event.NumCounters; c++ {
		t.counters[c] = t.metricSet.NewCounter("anvilcrank_" + c.String() + "_total")
	}
	return t
}

// Log writes a log event. Events that exceed the limit on lines per second are
// skipped and counted.
func (t *Telemetry) Log(e event.Log) {
	skipped, ok := t.lineLimiter.allow(time.Now())
	if !ok {
		t.skippedLines.Inc()
		return
	}
	if skipped > 0 {
		t.write(event.Log{Code: logevent.LinesSkipped, Fields: []logevent.Field{logevent.F("lines", skipped)}})
	}
	t.write(e)
}

// write logs an event with the level and the message of its code.
func (t *Telemetry) write(e event.Log) {
	info := logevent.Lookup(e.Code)
	fields := log.Fields{"event": int(e.Code), "name": info.Name}
	for _, f := range e.Fields {
		fields[f.Name] = f.Value
	}
	entry := t.logger.WithFields(fields)
	switch info.Level {
	case logevent.LevelError:
		entry.Error(info.Message)
	case logevent.LevelWarn:
		entry.Warn(info.Message)
	default:
		entry.Info(info.Message)
	}
}

// Count adds to a counter, as the Count effect of a reducer requests.
func (t *Telemetry) Count(e event.Count) { t.counters[e.Counter].Add(e.Add) }

// ObserveRequest records the latency and the result code of a request.
func (t *Telemetry) ObserveRequest(tenant model.Tenant, service model.ServiceName, class model.Class, code result.Code, elapsed time.Duration) {
	t.histogram(tenant, service, class).Update(elapsed.Seconds())
	t.metricSet.GetOrCreateCounter(`anvilcrank_results_total{code="` + strconv.Itoa(int(code)) + `"}`).Inc()
}

// histogram returns the latency histogram with the labels, and creates it if
// necessary.
func (t *Telemetry) histogram(tenant model.Tenant, service model.ServiceName, class model.Class) *metrics.Histogram {
	t.mu.RLock()
	key := requestLabels{nameWithinLimit(t.tenants, tenant, maxTenants), nameWithinLimit(t.services, service, maxServices), class}
	h := t.histograms[key]
	t.mu.RUnlock()
	if h != nil {
		return h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key.tenant = boundedName(t.tenants, tenant, maxTenants)
	key.service = boundedName(t.services, service, maxServices)
	name := fmt.Sprintf(`anvilcrank_request_seconds{tenant=%s,service=%s,class=%q}`,
		quoteLabelValue(string(key.tenant)), quoteLabelValue(string(key.service)), class)
	h = t.metricSet.GetOrCreateHistogram(name)
	t.histograms[key] = h
	return h
}

// nameWithinLimit returns the name if it is one of the admitted names or may become
// one, because fewer than limit names are admitted. Otherwise it returns otherName.
func nameWithinLimit[N ~string](admitted map[N]bool, name N, limit int) N {
	if admitted[name] || len(admitted) < limit {
		return name
	}
	return otherName
}

// boundedName returns nameWithinLimit and admits the name.
func boundedName[N ~string](admitted map[N]bool, name N, limit int) N {
	name = nameWithinLimit(admitted, name, limit)
	if name != otherName {
		admitted[name] = true
	}
	return name
}

// quoteLabelValue quotes a label value. Callers choose the values, so control
// characters, quotes, backslashes and non-ASCII characters are replaced: they
// could break the Prometheus text format.
func quoteLabelValue(value string) string {
	escaped := strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r > '~' {
			return '_'
		}
		return r
	}, value)
	return `"` + escaped + `"`
}

// MemoryUse returns the bytes that a process holds for requests.
type MemoryUse interface {
	Limit() int64
	Used() int64
	Peak() int64
}

// ObserveMemory adds the metrics of a memory budget.
func (t *Telemetry) ObserveMemory(m MemoryUse) {
	for name, value := range map[string]func() int64{"limit": m.Limit, "used": m.Used, "peak": m.Peak} {
		t.metricSet.GetOrCreateGauge(`anvilcrank_held_bytes{value="`+name+`"}`, func() float64 { return float64(value()) })
	}
}

// CountConnections counts accepted connections that were closed or refused for a reason.
func (t *Telemetry) CountConnections(reason string, n int) {
	t.metricSet.GetOrCreateCounter(`anvilcrank_connections_ended_total{reason=` + quoteLabelValue(reason) + `}`).Add(n)
}

// ObserveConnections adds the metrics of the number of accepted connections and its limit, 0 if
// it has none.
func (t *Telemetry) ObserveConnections(open func() int, limit int) {
	t.metricSet.GetOrCreateGauge(`anvilcrank_connections{value="open"}`, func() float64 { return float64(open()) })
	t.metricSet.GetOrCreateGauge(`anvilcrank_connections{value="limit"}`, func() float64 { return float64(limit) })
}

// WriteMetrics writes all metrics in the Prometheus text format.
func (t *Telemetry) WriteMetrics(w io.Writer) { t.metricSet.WritePrometheus(w) }

// SetGauge sets a gauge of a service. Services beyond maxServices share one label
// value.
func (t *Telemetry) SetGauge(e event.SetGauge) {
	t.mu.Lock()
	service := boundedName(t.services, e.Service, maxServices)
	t.mu.Unlock()
	t.metricSet.GetOrCreateGauge("anvilcrank_"+e.Gauge.String()+`{service=`+quoteLabelValue(string(service))+`}`, nil).Set(float64(e.Value))
}
