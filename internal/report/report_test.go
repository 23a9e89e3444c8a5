package report_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/report"
)

// Guards against rows and charts that are missing in the report, and against an HTML
// page that loads another file.
func TestReportIsCompleteAndSelfContained(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a deployment")
	}
	g := NewWithT(t)
	r, err := report.Run(context.Background(), report.Options{
		Deployments: []string{"tabsangam"}, Scenarios: []string{"steady"}, Policies: []string{"anvilcrank", "round-robin"},
		NumSeeds: 1, FirstSeed: 1, Duration: time.Second, Progress: io.Discard})
	g.Expect(err).NotTo(HaveOccurred())
	var html, jsonText bytes.Buffer
	g.Expect(r.WriteHTML(&html)).To(Succeed())
	g.Expect(r.WriteJSON(&jsonText)).To(Succeed())
	g.Expect(strings.Count(html.String(), "<svg")).To(BeNumerically(">=", 10))
	g.Expect(html.String()).To(ContainSubstring("<h3>tabview.p99_ms</h3>"))
	g.Expect(html.String()).NotTo(ContainSubstring("src="))
	var decoded struct {
		Rows []struct {
			Policy  string
			Figures map[string]any
		}
	}
	g.Expect(json.Unmarshal(jsonText.Bytes(), &decoded)).To(Succeed())
	g.Expect(decoded.Rows).To(HaveLen(2))
	g.Expect(decoded.Rows[1].Policy).To(Equal("round-robin"))
	g.Expect(decoded.Rows[0].Figures["answered"]).To(BeNumerically(">", 0))
}
