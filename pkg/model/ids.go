package model

import "strconv"

// InstanceID names one entry instance. It stays the same over restarts.
type InstanceID string

// Incarnation distinguishes the processes that ran under one identifier. It is
// the start time of the process in Unix nanoseconds, so a later one is larger.
type Incarnation int64

// UpstreamID names one upstream within its service.
type UpstreamID string

// ServiceName names a service that upstreams offer.
type ServiceName string

// Zone names an availability zone.
type Zone string

// Region names a region, which holds one or more availability zones.
type Region string

// Tenant names the firm or partner house on whose behalf a client calls.
type Tenant string

// RequestID numbers the requests of one process of an instance.
type RequestID uint64

// AttemptID names one dispatch of a request to an upstream. It is unique over
// all instances and restarts, so that a late answer never matches a newer
// attempt.
type AttemptID struct {
	Instance    InstanceID
	Incarnation Incarnation
	Seq         uint64
}

// String gives the form used in the Anvilcrank-Attempt header.
func (a AttemptID) String() string {
	b := make([]byte, 0, len(a.Instance)+40)
	b = append(b, a.Instance...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(a.Incarnation), 36)
	b = append(b, '/')
	b = strconv.AppendUint(b, a.Seq, 36)
	return string(b)
}

// Class separates work that runs many times longer than the rest.
type Class uint8

const (
	// Short is the class of ordinary requests.
	Short Class = iota
	// Long is the class of downloads and exports.
	Long
)

// String returns the name used in settings, metrics and logs.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}
