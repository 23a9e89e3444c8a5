package message

import (
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Kinds of messages that distribute configurations and forward requests to the
// leader of the control group.
const (
	KindConfigUpdate   Kind = 40
	KindConfigAck      Kind = 41
	KindConfigDigest   Kind = 42
	KindConfigFetch    Kind = 43
	KindControlRequest Kind = 44
	KindControlReply   Kind = 45
)

func init() {
	register[ConfigUpdate](KindConfigUpdate)
	register[ConfigAck](KindConfigAck)
	register[ConfigDigest](KindConfigDigest)
	register[ConfigFetch](KindConfigFetch)
	register[ControlRequest](KindControlRequest)
	register[ControlReply](KindControlReply)
}

// Sections is a bit set of sections of a configuration.
type Sections uint8

// Sections of a configuration.
const (
	SectionZones Sections = 1 << iota
	SectionRoster
	SectionProfiles
	SectionServices
	SectionShifts
	SectionDrains
	SectionLinks
	AllSections Sections = 1<<iota - 1
)

// ConfigUpdate carries a committed configuration, either whole or as the
// sections that differ from an earlier version.
type ConfigUpdate struct {
	// BaseVersion is the version to which the sections apply, 0 for a whole
	// configuration.
	BaseVersion model.Version `cbor:"Base"`
	// Sections are the sections that Config contains.
	Sections Sections
	// Config contains the new version number and the sections. Version 0 means
	// that the sender has no configuration.
	Config model.Config
	// ForwardTo lists the instances to which the receiver forwards the update.
	ForwardTo []model.InstanceID `cbor:"Targets"`
}

// Kind implements Message.
func (*ConfigUpdate) Kind() Kind { return KindConfigUpdate }

// InstanceVersion is the configuration version in force at an instance.
type InstanceVersion struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	Version     model.Version
}

// ConfigAck reports the versions in force at the sender and at the instances
// below it in the distribution tree of an update.
type ConfigAck struct {
	Versions []InstanceVersion `cbor:"Held"`
}

// Kind implements Message.
func (*ConfigAck) Kind() Kind { return KindConfigAck }

// LeaderHint is the latest information that an instance has about the control
// group.
type LeaderHint struct {
	Leader  model.InstanceID
	Term    uint64
	Members []model.InstanceID
}

// ConfigDigest summarizes the sender's state. The receiver compares it with its
// own state, and sends or fetches a configuration that one side has missed.
type ConfigDigest struct {
	// Sender is the version in force at the sender.
	Sender InstanceVersion `cbor:"Held"`
	// Sample contains the versions in force at some of the instances, as known to
	// the sender.
	Sample []InstanceVersion
	// LeaderHint is what the sender knows about the control group.
	LeaderHint LeaderHint `cbor:"Hint"`
	// Reply is true if the message answers a ConfigDigest. Replies are not
	// answered.
	Reply bool
}

// Kind implements Message.
func (*ConfigDigest) Kind() Kind { return KindConfigDigest }

// ConfigFetch asks for the receiver's configuration.
type ConfigFetch struct {
	// InForce is the version in force at the sender, 0 if there is none.
	InForce model.Version `cbor:"Have"`
}

// Kind implements Message.
func (*ConfigFetch) Kind() Kind { return KindConfigFetch }

// ControlRequestID identifies a control request. Seq increases within a process,
// and each request is sent to a single receiver only. A receiver therefore
// detects a duplicate: its Seq is not higher than that of the last request from
// the same origin.
type ControlRequestID struct {
	Origin      model.InstanceID
	Incarnation model.Incarnation
	Seq         uint64
}

// RequestKind is the type of a control request.
type RequestKind uint8

// Types of control requests.
const (
	RequestChange RequestKind = iota + 1
	RequestDryRun
	RequestStatus
	RequestHistory
)

// ControlRequest is a request to the leader of the control group.
type ControlRequest struct {
	ID ControlRequestID
	// Hops is the number of times that the request was forwarded.
	Hops    int
	Request RequestKind
	// Change is set for RequestChange and RequestDryRun.
	Change change.Change
	// Version is set for RequestStatus: the reply is delayed until this version
	// is in force everywhere, but at most by Wait.
	Version model.Version
	Wait    model.Duration
	// Limit is the maximum number of entries for RequestHistory.
	Limit int
}

// Kind implements Message.
func (*ControlRequest) Kind() Kind { return KindControlRequest }

// ControlReply answers a ControlRequest.
type ControlReply struct {
	ID ControlRequestID
	// Result is the result of RequestChange and RequestDryRun. Its code is set
	// for every type of request.
	Result change.Result
	// Status is set for RequestStatus.
	Status Status
	// History is set for RequestHistory.
	History []change.Entry
}

// Kind implements Message.
func (*ControlReply) Kind() Kind { return KindControlReply }

// FailedReply returns a reply that contains only a result code.
func FailedReply(id ControlRequestID, code result.Code) *ControlReply {
	return &ControlReply{ID: id, Result: change.Result{Code: code}}
}

// Status describes the control group and the configuration versions in force at
// the instances, as one instance knows them.
type Status struct {
	// From is the instance that reports the status.
	From model.InstanceID
	// Current is true if the leader reported the status while its lease was
	// valid.
	Current bool
	Leader  model.InstanceID
	Term    uint64
	// Version is the latest version that the reporting instance knows.
	Version   model.Version
	Members   []model.InstanceID
	Instances []InstanceStatus
}

// InstanceStatus is the status of one known instance.
type InstanceStatus struct {
	InstanceVersion
	// InRoster is true if the roster of the configuration lists the instance.
	InRoster bool
	// Connected is true for the reporting instance itself and for instances to
	// which it has a connection.
	Connected bool
}
