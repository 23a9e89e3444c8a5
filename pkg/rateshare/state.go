package rateshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// ReportInterval is the interval at which entry instances report their demand.
	ReportInterval = 500 * time.Millisecond
	// Validity is how long a share may be used, and how long a report of demand
	// counts. It allows for two lost reports.
	Validity = 3 * ReportInterval
	// useFraction is the fraction of a limit that is divided. The rest is a margin
	// for shares that overlap while they change.
	useFraction = 0.95
	// minShare bounds the number of instances with a share: the limit divided by it,
	// in requests per second. Each of them may send one request at any time, and
	// all could do so at once.
	minShare = 0.5
)

// State divides the limits among the entry instances that report demand.
type State struct {
	// grantsFrom is when the first shares are granted. Before, shares that an
	// earlier leader granted may be in use.
	grantsFrom model.Time
	upstreams  map[uint64]*upstream
}

// upstream is an upstream with a request limit.
type upstream struct {
	// limit is the limit that the upstream stated last, at the time statedAt; 0 if
	// its latest response stated none.
	limit    float64
	statedAt model.Time
	demands  map[model.InstanceID]*demand
}

// demand is what an entry instance reported last, at the time at. share is the
// share that it was granted.
type demand struct {
	perSecond float64
	at        model.Time
	share     float64
}

// New returns the state of an instance that begins to lead at the given time.
func New(at model.Time) *State {
	return &State{grantsFrom: at.Add(Validity), upstreams: map[uint64]*upstream{}}
}

// Report records the demand of an entry instance and returns its shares. It
// returns none until all shares of an earlier leader have expired.
func (s *State) Report(at model.Time, from model.InstanceID, reports []message.RateDemand) []message.RateShare {
	s.dropExpired(at)
	var shares []message.RateShare
	for _, r := range reports {
		u := s.upstreams[r.Upstream]
		if u == nil {
			u = &upstream{demands: map[model.InstanceID]*demand{}}
			s.upstreams[r.Upstream] = u
		}
		if stated := at.Add(-time.Duration(r.StatementAgeMs) * time.Millisecond); stated >= u.statedAt {
			u.limit, u.statedAt = r.Limit, stated
		}
		d := u.demands[from]
		if d == nil {
			d = &demand{}
			u.demands[from] = d
		}
		d.perSecond, d.at = r.PerSecond, at
		u.divide(r.Upstream)
		if at >= s.grantsFrom {
			shares = append(shares, message.RateShare{Upstream: r.Upstream, PerSecond: d.share, Limit: u.limit, StatementAgeMs: at.Sub(u.statedAt).Milliseconds()})
		}
	}
	return shares
}

// dropExpired removes the reports whose validity has ended.
func (s *State) dropExpired(at model.Time) {
	maps.DeleteFunc(s.upstreams, func(_ uint64, u *upstream) bool {
		maps.DeleteFunc(u.demands, func(_ model.InstanceID, d *demand) bool { return at >= d.at.Add(Validity) })
		return len(u.demands) == 0
	})
}

// divide divides the limit in proportion to the demand. If the limit is too low
// for a share of minShare for each instance, only some get one: those with the
// highest scores in rendezvous hashing, weighted by the demand. Over all upstreams
// each instance then has shares in proportion to its demand.
func (u *upstream) divide(key uint64) {
	usable := useFraction * u.limit
	holders := slices.Sorted(maps.Keys(u.demands))
	if maxHolders := max(1, int(usable/minShare)); maxHolders < len(holders) {
		slices.SortStableFunc(holders, func(a, b model.InstanceID) int {
			return cmp.Compare(holderScore(key, b, u.demands[b].perSecond), holderScore(key, a, u.demands[a].perSecond))
		})
		for _, id := range holders[maxHolders:] {
			u.demands[id].share = 0
		}
		holders = holders[:maxHolders]
		for _, id := range holders {
			u.demands[id].share = usable / float64(maxHolders)
		}
		return
	}
	total := 0.0
	for _, id := range holders {
		total += u.demands[id].perSecond
	}
	for _, id := range holders {
		d := u.demands[id]
		if total > 0 {
			d.share = usable * d.perSecond / total
		} else {
			d.share = usable / float64(len(holders))
		}
	}
}

// holderScore returns the score of an instance in the rendezvous hashing of an
// upstream.
func holderScore(upstream uint64, id model.InstanceID, weight float64) float64 {
	var h xxhash.Digest
	h.ResetWithSeed(upstream)
	_, _ = h.WriteString(string(id))
	uniform := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(uniform)
}
