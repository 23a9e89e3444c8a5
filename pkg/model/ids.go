package model

import "strconv"

// InstanceID identifies an instance. It stays the same across restarts.
type InstanceID string

// Incarnation distinguishes the processes that have run under one identifier. It
// is the start time of the process in Unix nanoseconds, so a later process has a
// larger incarnation.
type Incarnation int64

// UpstreamID identifies an upstream within its service.
type UpstreamID string

// ServiceName identifies a service that upstreams provide.
type ServiceName string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which contains one or more availability zones.
type Region string

// Tenant identifies the company or partner on whose behalf a client sends
// requests.
type Tenant string

// RequestID is the number of a request. It is unique within one process of an
// instance.
type RequestID uint64

// AttemptID identifies one dispatch of a request to an upstream. It is unique
// across all instances and restarts, so that a late response never matches a
// newer attempt.
type AttemptID struct {
	Instance    InstanceID
	Incarnation Incarnation
	Seq         uint64
}

// String returns the form used in the Anvilcrank-Attempt header.
func (a AttemptID) String() string {
	b := make([]byte, 0, len(a.Instance)+40)
	b = append(b, a.Instance...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(a.Incarnation), 36)
	b = append(b, '/')
	b = strconv.AppendUint(b, a.Seq, 36)
	return string(b)
}

// Class is the class of a request by its expected execution time.
type Class uint8

const (
	// Short is the class of ordinary requests.
	Short Class = iota
	// Long is the class of downloads and exports, which take many times longer than
	// ordinary requests.
	Long
)

// String returns the name of the class used in settings, metrics and logs.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}
