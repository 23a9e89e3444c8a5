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

// countResult returns the counts for one result after the given executions.
func countResult(r deployment.Result, executions ...fake.Execution) *deployment.Counts {
	j := fake.NewJournal()
	for _, execution := range executions {
		j.RecordStart(execution)
	}
	var c deployment.Counts
	c.Add(&r, j)
	c.AddDuplicateKeys(j)
	return &c
}

// Guards against overlooking a duplicate execution. A benchmark would then
// report that a ledger with this fault is correct.
var _ = It("duplicate executions are counted", func() {
	g := NewWithT(GinkgoTB())
	execution := fake.Execution{Token: "t", AttemptID: "a-1/1/1"}
	write := deployment.Result{Token: "t"}
	g.Expect(countResult(write, execution).Failed()).To(BeFalse())
	g.Expect(countResult(write, execution, execution).DuplicateExecutions).To(Equal(1))

	read := deployment.Result{Token: "t", Idempotent: true}
	g.Expect(countResult(read, execution, execution).Failed()).To(BeFalse())

	execution.IdempotencyKey = "k"
	keyed := deployment.Result{Token: "t", HasIdempotencyKey: true}
	g.Expect(countResult(keyed, execution, execution).DuplicateExecutions).To(Equal(1))
})

// Guards against counting a "not run" rejection as correct although the request
// was executed.
var _ = It("a request that was rejected as not executed but was executed is counted", func() {
	g := NewWithT(GinkgoTB())
	refused := deployment.Result{Token: "t", Instance: "a-1", Call: fake.CallResult{Outcome: fake.NotExecuted}}
	g.Expect(countResult(refused).Failed()).To(BeFalse())
	g.Expect(countResult(refused, fake.Execution{Token: "t", AttemptID: "a-1/1/1"}).FalseNotExecuted).To(Equal(1))
	refused.ExecutedBefore = true
	g.Expect(countResult(refused).FalseNotExecuted).To(Equal(1))
})

// Guards against counting a broken connection as expected although no fault
// explains it.
var _ = It("a broken connection counts as expected only after a fault", func() {
	g := NewWithT(GinkgoTB())
	truncated := deployment.Result{Call: fake.CallResult{Outcome: fake.Truncated}}
	g.Expect(countResult(truncated).Truncated).To(Equal(1))
	g.Expect(countResult(deployment.Result{Call: fake.CallResult{Outcome: fake.Lost}}).Lost).To(Equal(1))
	truncated.AffectedByFault = true
	g.Expect(countResult(truncated).Failed()).To(BeFalse())
	g.Expect(countResult(truncated).BrokenByFault).To(Equal(1))
})

// Guards against a fake caller that accepts a truncated response or the response
// to another request.
var _ = Describe("callers detect wrong and truncated responses", func() {
	for name, tt := range map[string]struct {
		tag      string
		declared int
		sent     string
		want     fake.Outcome
	}{
		"whole response":       {`"a"`, 4, strings.Repeat("\x2c", 4), fake.Answered},
		"truncated response":   {`"a"`, 8, strings.Repeat("\x2c", 4), fake.Truncated},
		"other request's tag":  {`"b"`, 4, strings.Repeat("\x2c", 4), fake.WrongResponse},
		"other request's body": {`"a"`, 4, strings.Repeat("x", 4), fake.WrongResponse},
		"short response":       {`"a"`, 2, strings.Repeat("\x2c", 2), fake.WrongResponse},
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
			result := c.Do(context.Background(), view.Instance{Address: s.Listener.Addr().String()},
				fake.Request{Method: "GET", Token: "a", ResponseBytes: 4})
			g.Expect(result.Outcome).To(Equal(tt.want))
		})
	}
})
