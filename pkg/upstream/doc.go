// Package upstream is the sub-reducer for upstreams. It handles their
// announcements, tracks which upstreams this instance owns, and chooses an owned
// upstream with a free slot for each attempt.
//
// An upstream announces itself at regular intervals to the instance that owns it.
// Each announcement renews the lease of the ownership. Only the owner counts the
// upstream's slots in use and grants its slots, so the count is exact. Package
// permit does the counting.
//
// A tenure is the period from the time at which an instance becomes the owner of an
// upstream until it stops being the owner. An instance numbers its tenures, and
// handover messages carry the number, so that a late handover for an earlier tenure
// is recognized.
package upstream
