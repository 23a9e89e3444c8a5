package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// BenchmarkChoose measures the selection of an upstream for a request with an
// affinity key.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 60, 618, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			counts := map[model.Zone]int{}
			for _, zone := range []model.Zone{"a1", "a2", "b1", "b2", "c1", "c2"} {
				counts[zone] = n / 6
			}
			s := newInstance("a1", newRegistry(counts, 9), newCatalog(0))
			at := start
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at = at.Add(50 * time.Millisecond)
				q := balance.Query{Service: "reads", AffinityKey: fmt.Sprint(i % 700), Objective: time.Second}
				c, ok := s.Choose(at, &q)
				if !ok {
					b.Fatal("no upstream")
				}
				s.Sent(at, &c)
				s.Ended(at, c.ID, &balance.End{Result: balance.Answered, Cached: true, ResponseTime: 50 * time.Millisecond,
					Load: &model.LoadReport{Running: 4, Slots: 9, Slowdown: 1}})
			}
		})
	}
}
