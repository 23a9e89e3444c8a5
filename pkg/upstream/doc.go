// Package upstream is the sub-reducer for upstreams: their announcements, which
// of them this instance owns, and the choice among those with a free slot.
//
// An instance owns an upstream while the lease that each announcement renews
// has not run out. Only the owner counts the slots of an upstream and hands
// them out (pkg/permit does the counting), so the count is exact.
package upstream
