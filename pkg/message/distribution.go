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

// Sections is a bit set of sections of a configuration. Each section is one of the
// lists in model.Config.
type Sections uint8

// Sections of a configuration, named after the lists in model.Config.
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
	// BaseVersion is the version to which the receiver applies the sections, 0 if
	// Config is a whole configuration. The wire key is "Base".
	BaseVersion model.Version `cbor:"Base"`
	// Sections is the set of sections that Config contains.
	Sections Sections
	// Config contains the new version number and the sections that Sections lists.
	// A version number of 0 means that the sender has no configuration.
	Config model.Config
	// ForwardTo lists the instances to which the receiver of the update forwards it.
	// The wire key is "Targets".
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

// ConfigAck answers a ConfigUpdate. It reports the configuration versions in force
// at the sender and at the instances to which the update was forwarded through the
// sender.
type ConfigAck struct {
	// Versions has one element per instance. The wire key is "Held".
	Versions []InstanceVersion `cbor:"Held"`
}

// Kind implements Message.
func (*ConfigAck) Kind() Kind { return KindConfigAck }

// LeaderHint is the latest information that an instance has about the leader and
// the members of the control group. The information may be out of date.
type LeaderHint struct {
	Leader  model.InstanceID
	Term    uint64
	Members []model.InstanceID
}

// ConfigDigest reports which configuration version is in force at the sender. If
// the receiver has a later version, it sends its configuration. If the receiver has
// an earlier version, it fetches the sender's configuration.
type ConfigDigest struct {
	// Sender contains the version in force at the sender. The wire key is "Held".
	Sender InstanceVersion `cbor:"Held"`
	// Sample contains the versions in force at some of the instances, as far as the
	// sender knows.
	Sample []InstanceVersion
	// LeaderHint is what the sender knows about the control group. The wire key is
	// "Hint".
	LeaderHint LeaderHint `cbor:"Hint"`
	// Reply is true if the message answers a ConfigDigest. Replies are not
	// answered.
	Reply bool
}

// Kind implements Message.
func (*ConfigDigest) Kind() Kind { return KindConfigDigest }

// ConfigFetch asks for the receiver's configuration.
type ConfigFetch struct {
	// InForce is the configuration version in force at the sender, 0 if there is
	// none. The wire key is "Have".
	InForce model.Version `cbor:"Have"`
}

// Kind implements Message.
func (*ConfigFetch) Kind() Kind { return KindConfigFetch }

// ControlRequestID identifies a control request. Seq increases with each request
// of a process, and each request is sent to a single receiver only. A receiver
// therefore recognizes a duplicate by its Seq, which is not higher than the Seq of
// the last request from the same origin.
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
	// Change is set if Request is RequestChange or RequestDryRun.
	Change change.Change
	// Version and Wait are set if Request is RequestStatus. The reply is delayed until
	// this configuration version is in force at every instance, but at most by Wait.
	Version model.Version
	Wait    model.Duration
	// Limit is set if Request is RequestHistory. It is the maximum number of history
	// entries in the reply.
	Limit int
}

// Kind implements Message.
func (*ControlRequest) Kind() Kind { return KindControlRequest }

// ControlReply answers a ControlRequest.
type ControlReply struct {
	ID ControlRequestID
	// Result is the result of a request of the type RequestChange or RequestDryRun.
	// For other types of requests, only the result code is set.
	Result change.Result
	// Status is set in the reply to a RequestStatus.
	Status Status
	// History is set in the reply to a RequestHistory.
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
	// Version is the latest configuration version that the reporting instance knows.
	Version   model.Version
	Members   []model.InstanceID
	Instances []InstanceStatus
}

// InstanceStatus is the status of one instance that the reporting instance knows.
type InstanceStatus struct {
	InstanceVersion
	// InRoster is true if the roster in the configuration contains the instance.
	InRoster bool
	// Connected is true for the reporting instance itself and for each instance to
	// which the reporting instance has a connection.
	Connected bool
}
