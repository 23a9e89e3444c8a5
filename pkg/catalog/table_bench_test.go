package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// BenchmarkRoute measures the lookup of the route of a request.
func BenchmarkRoute(b *testing.B) {
	for _, routes := range []int{10, 1400, 14_000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			c := catalog.New()
			for i := range routes {
				c.Merge(model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: fmt.Sprint("r", i)}, Version: 1, Route: &model.Route{
					Host: "h.example", Prefix: fmt.Sprintf("/a/%d/", i), Timeout: time.Second, MaxAttempts: 1, Splits: []model.Split{{Service: "s", Weight: 1}}}})
			}
			table, path := c.Table(), fmt.Sprintf("/a/%d/deep/path/x", routes/2)
			b.ResetTimer()
			for range b.N {
				if _, ok := table.Route("h.example", path); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
