package gateway

import (
	"net/http"
	"testing"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// BenchmarkReadStatement measures what reading the statements of an upstream adds
// to a request.
func BenchmarkReadStatement(b *testing.B) {
	g := &Gateway{headers: Headers{RequestLimit: "Limit", Leaving: "Leaving"}}
	conn := &upstreamConn{upstream: model.UpstreamID("u")}
	for name, header := range map[string]http.Header{
		"none":  {"Content-Type": {"text/plain"}},
		"limit": {"Content-Type": {"text/plain"}, "Limit": {"19.2"}},
	} {
		b.Run(name, func(b *testing.B) {
			resp := &http.Response{StatusCode: http.StatusOK, Header: header}
			b.ReportAllocs()
			for b.Loop() {
				g.readStatement(conn, resp)
			}
		})
	}
}
