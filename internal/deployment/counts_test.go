package deployment_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// count counts one result after the given runs.
func count(r deployment.Result, runs ...fake.Execution) *deployment.Counts {
	j := fake.NewJournal()
	for _, run := range runs {
		j.RecordStart(run)
	}
	var c deployment.Counts
	c.Add(&r, j)
	c.AddDuplicateKeys(j)
	return &c
}

// A benchmark that misses a second run would report a broken ledger as sound.
var _ = It("duplicate runs are counted", func() {
	g := NewWithT(GinkgoTB())
	run := fake.Execution{Token: "t", AttemptID: "a-1/1/1"}
	write := deployment.Result{Token: "t"}
	g.Expect(count(write, run).Failed()).To(BeFalse())
	g.Expect(count(write, run, run).DuplicateExecutions).To(Equal(1))

	read := deployment.Result{Token: "t", Idempotent: true}
	g.Expect(count(read, run, run).Failed()).To(BeFalse())

	run.IdempotencyKey = "k"
	keyed := deployment.Result{Token: "t", HasIdempotencyKey: true}
	g.Expect(count(keyed, run, run).DuplicateExecutions).To(Equal(1))
})

// A refusal that says "not run" of work that ran must not pass as a refusal.
var _ = It("false not run is counted", func() {
	g := NewWithT(GinkgoTB())
	refused := deployment.Result{Token: "t", Instance: "a-1", Call: fake.CallResult{Outcome: fake.NotExecuted}}
	g.Expect(count(refused).Failed()).To(BeFalse())
	g.Expect(count(refused, fake.Execution{Token: "t", AttemptID: "a-1/1/1"}).FalseNotExecuted).To(Equal(1))
	refused.ExecutedBefore = true
	g.Expect(count(refused).FalseNotExecuted).To(Equal(1))
})

// Only a connection that a fault broke is excused.
var _ = It("broken answers are excused by faults only", func() {
	g := NewWithT(GinkgoTB())
	cut := deployment.Result{Call: fake.CallResult{Outcome: fake.Truncated}}
	g.Expect(count(cut).Truncated).To(Equal(1))
	g.Expect(count(deployment.Result{Call: fake.CallResult{Outcome: fake.Lost}}).Lost).To(Equal(1))
	cut.AffectedByFault = true
	g.Expect(count(cut).Failed()).To(BeFalse())
	g.Expect(count(cut).BrokenByFault).To(Equal(1))
})

// The fake caller has to notice truncated answers and those of other requests.
var _ = Describe("callers notice wrong and truncated answers", func() {
	for name, tt := range map[string]struct {
		tag      string
		declared int
		sent     string
		want     fake.Outcome
	}{
		"whole answer":         {`"a"`, 4, strings.Repeat("\x2c", 4), fake.Answered},
		"truncated answer":     {`"a"`, 8, strings.Repeat("\x2c", 4), fake.Truncated},
		"other request's tag":  {`"b"`, 4, strings.Repeat("\x2c", 4), fake.WrongResponse},
		"other request's body": {`"a"`, 4, strings.Repeat("x", 4), fake.WrongResponse},
		"short answer":         {`"a"`, 2, strings.Repeat("\x2c", 2), fake.WrongResponse},
	} {
		It(name, func() {
			g := NewWithT(GinkgoTB())
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Etag", tt.tag)
				w.Header().Set("Content-Length", strconv.Itoa(tt.declared))
				_, _ = w.Write([]byte(tt.sent))
			}))
			defer s.Close()
			c := fake.NewCaller(fake.CallerOptions{})
			defer c.Close()
			reply := c.Do(context.Background(), view.Instance{Address: s.Listener.Addr().String()},
				fake.Request{Method: "GET", Token: "a", ResponseBytes: 4})
			g.Expect(reply.Outcome).To(Equal(tt.want))
		})
	}
})
