package ledger

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// queryTimeout is how long a query waits for the replies of all replicas. The
	// query is then answered from the replies that have arrived.
	queryTimeout = time.Second
	// maxQueries is the number of queries that may wait for replies at the same time.
	// Further queries are answered with KeyOutcomeUnknown at once.
	maxQueries = 1024
)

// query asks for the state of a key and waits for the replies of the replicas.
type query struct {
	id       uint64
	call     event.CallID
	group    []model.InstanceID
	replies  []*message.LedgerQueryReply // in the order of group, nil for none
	deadline model.Time
}

// Query asks the replicas for the state of a key on behalf of an operator or a
// caller. The result is an OutcomeReply effect, added to out now or in a later step.
func (s *State) Query(at model.Time, ev event.OutcomeRequested, out *event.Effects) {
	group := s.group(ev.Key.Home)
	if len(group) == 0 || len(s.queries) >= maxQueries {
		out.Add(event.OutcomeReply{Call: ev.Call, State: model.KeyOutcomeUnknown})
		return
	}
	s.lastQueryID++
	q := &query{
		id:       s.lastQueryID,
		call:     ev.Call,
		group:    group,
		replies:  make([]*message.LedgerQueryReply, len(group)),
		deadline: at.Add(queryTimeout),
	}
	s.queries = append(s.queries, q)
	for _, id := range group {
		s.send(id, &message.LedgerQuery{Key: ev.Key.Text, Incarnation: s.incarnation, QueryID: q.id}, out)
	}
	s.handleLocal(at, out)
}

func (s *State) receiveQuery(at model.Time, from model.InstanceID, m *message.LedgerQuery, out *event.Effects) {
	key, err := model.ParseKey(m.Key)
	if err != nil {
		return
	}
	state, status := s.replica.keyState(at, key)
	if state == model.KeyUnclaimed && !slices.Contains(s.group(key.Home), s.self) {
		state = model.KeyOutcomeUnknown
	}
	s.send(from, &message.LedgerQueryReply{Incarnation: m.Incarnation, QueryID: m.QueryID, State: state, Status: status}, out)
}

func (s *State) receiveQueryReply(from model.InstanceID, m *message.LedgerQueryReply, out *event.Effects) {
	i := slices.IndexFunc(s.queries, func(q *query) bool { return q.id == m.QueryID })
	if i < 0 || m.Incarnation != s.incarnation {
		return
	}
	q := s.queries[i]
	k := slices.Index(q.group, from)
	if k < 0 {
		return
	}
	q.replies[k] = m
	if reply, ok := q.reply(); ok {
		s.queries = slices.Delete(s.queries, i, i+1)
		out.Add(reply)
	}
}

// reply combines the replies received so far into one. It also reports whether
// further replies are not needed, because a replica has reported the recorded
// outcome or all replicas have replied.
func (q *query) reply() (event.OutcomeReply, bool) {
	counts := map[model.KeyState]int{}
	missing := 0
	for _, a := range q.replies {
		if a == nil {
			missing++
			continue
		}
		counts[a.State]++
		if a.State == model.KeyExecuted {
			return event.OutcomeReply{Call: q.call, State: model.KeyExecuted, Status: a.Status}, true
		}
	}
	majority := len(q.group)/2 + 1
	reply := event.OutcomeReply{Call: q.call, State: model.KeyOutcomeUnknown}
	switch {
	case len(q.group)-missing < majority:
	case counts[model.KeyRunning] > 0:
		reply.State = model.KeyRunning
	case counts[model.KeyUnclaimed] >= majority:
		reply.State = model.KeyUnclaimed
	}
	return reply, missing == 0
}

func (s *State) nextQueryWake() model.Time {
	if len(s.queries) == 0 {
		return 0
	}
	return s.queries[0].deadline
}

// wakeQueries ends the queries whose deadline has passed. Each query is answered
// from the replies received so far.
func (s *State) wakeQueries(at model.Time, out *event.Effects) {
	for len(s.queries) > 0 && s.queries[0].deadline <= at {
		reply, _ := s.queries[0].reply()
		out.Add(reply)
		s.queries = slices.Delete(s.queries, 0, 1)
	}
}
