package bench

import (
	"sort"
	"strings"
)

// ServiceNames returns the sorted names of the services that have latency metrics.
func (s *Summary) ServiceNames() []string {
	var names []string
	for name := range s.values {
		rest, ok := strings.CutPrefix(name, "services.")
		if !ok {
			continue
		}
		if service, metric, _ := strings.Cut(rest, "."); metric == "p99_ms" {
			names = append(names, service)
		}
	}
	sort.Strings(names)
	return names
}
