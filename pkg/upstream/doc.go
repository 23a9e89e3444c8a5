// Package upstream is the sub-reducer for upstreams: it handles their
// announcements, tracks which of them this instance owns, and chooses among the
// upstreams with a free slot.
//
// An upstream announces itself at regular intervals to the instance that owns
// it. Each announcement renews the lease of the ownership. Only the owner
// counts the slots of an upstream and grants them, so the count is exact.
// Package permit does the counting.
package upstream
