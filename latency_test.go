package anvilcrank_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"testing"
	"time"
)

// BenchmarkProxiedPath measures the latency of requests through an instance and
// of requests that are sent directly to the same upstream. The two kinds of
// requests alternate within one run.
func BenchmarkProxiedPath(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	i, _ := startInstance(b)
	announce(b, i, "reads", upstream)
	var direct, proxied []time.Duration
	call := func(url string) time.Duration {
		start := time.Now()
		resp, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return time.Since(start)
	}
	for b.Loop() {
		direct = append(direct, call(upstream.URL+"/x"))
		proxied = append(proxied, call("http://"+i.Address()+"/s/reads/x"))
	}
	report := func(name string, d []time.Duration) {
		sort.Slice(d, func(x, y int) bool { return d[x] < d[y] })
		b.ReportMetric(float64(d[len(d)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(d[len(d)*99/100].Microseconds()), name+"-p99-us")
	}
	report("direct", direct)
	report("proxied", proxied)
}

// BenchmarkLookupHandler measures the HTTP handler of lookups. It calls the
// handler directly, without the network.
func BenchmarkLookupHandler(b *testing.B) {
	i, _ := startInstance(b)
	for lookupCode(i, "reads") != "" {
		time.Sleep(time.Millisecond)
	}
	req := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=reads&zone=a&client=c", nil)
	handler := i.Handler()
	b.ReportAllocs()
	for b.Loop() {
		handler.ServeHTTP(httptest.NewRecorder(), req)
	}
}
