// Package upstream is the sub-reducer for upstreams: it handles their
// announcements, tracks which upstreams this instance owns, and chooses among the
// owned upstreams with a free slot.
//
// An upstream announces itself at regular intervals to the instance that owns
// it. Each announcement renews the lease of the ownership. Only the owner
// counts the slots of an upstream and grants them, so the count is exact.
// Package permit does the counting.
//
// A tenure is the period from the time at which an instance becomes the owner of an
// upstream until it stops being the owner. An instance numbers its tenures, and
// handover messages carry the number, so that a late handover for an earlier tenure
// is recognized.
package upstream
