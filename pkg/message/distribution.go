package message

import (
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Kinds of the distribution of configurations.
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

// Sections is a set of sections of a configuration.
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

// ConfigUpdate brings a committed configuration, whole or as the sections that
// differ from an earlier version.
type ConfigUpdate struct {
	// Base is the version that the sections apply to, 0 for a whole
	// configuration.
	BaseVersion model.Version `cbor:"Base"`
	Sections    Sections
	// Config has the new version and the sections. Version 0 says that the
	// sender has no configuration.
	Config model.Config
	// Targets are the instances that the receiver passes the update on to.
	ForwardTo []model.InstanceID `cbor:"Targets"`
}

// Kind implements Message.
func (*ConfigUpdate) Kind() Kind { return KindConfigUpdate }

// ConfigHeld says which version is in force at an instance.
type InstanceVersion struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	Version     model.Version
}

// ConfigAck reports the versions in force at the sender and behind it in the
// tree of an update.
type ConfigAck struct {
	Versions []InstanceVersion `cbor:"Held"`
}

// Kind implements Message.
func (*ConfigAck) Kind() Kind { return KindConfigAck }

// LeaderHint is what the sender last heard of the control group.
type LeaderHint struct {
	Leader  model.InstanceID
	Term    uint64
	Members []model.InstanceID
}

// ConfigDigest compares the sender's state with the receiver's.
type ConfigDigest struct {
	Sender InstanceVersion `cbor:"Held"`
	// Sample is a part of what the sender knows of other instances.
	Sample []InstanceVersion
	Hint   LeaderHint
	// Reply is set in the answer to a digest.
	Reply bool
}

// Kind implements Message.
func (*ConfigDigest) Kind() Kind { return KindConfigDigest }

// ConfigFetch asks for the receiver's configuration.
type ConfigFetch struct {
	// Have is the version in force at the sender, 0 if there is none.
	InForce model.Version `cbor:"Have"`
}

// Kind implements Message.
func (*ConfigFetch) Kind() Kind { return KindConfigFetch }

// RequestID names a control request. Numbers of one process rise, and each is
// sent to one receiver only.
type ControlRequestID struct {
	Origin      model.InstanceID
	Incarnation model.Incarnation
	Seq         uint64
}

// RequestKind says what a control request asks for.
type RequestKind uint8

// Control requests.
const (
	RequestChange RequestKind = iota + 1
	RequestDryRun
	RequestStatus
	RequestHistory
)

// ControlRequest asks the leader of the control group.
type ControlRequest struct {
	ID ControlRequestID
	// Hops is how often the request was passed on.
	Hops    int
	Request RequestKind
	// Change belongs to RequestChange and RequestDryRun.
	Change change.Change
	// Version belongs to RequestStatus: the answer waits until this version is
	// in force everywhere, or for Wait.
	Version model.Version
	Wait    model.Duration
	// Limit belongs to RequestHistory.
	Limit int
}

// Kind implements Message.
func (*ControlRequest) Kind() Kind { return KindControlRequest }

// ControlAnswer answers a ControlRequest.
type ControlReply struct {
	ID ControlRequestID
	// Result belongs to RequestChange and RequestDryRun; its code belongs to
	// all requests.
	Result  change.Result
	Status  Status
	History []change.Entry
}

// Kind implements Message.
func (*ControlReply) Kind() Kind { return KindControlReply }

// Failed returns an answer that carries only a code.
func FailedReply(id ControlRequestID, code result.Code) *ControlReply {
	return &ControlReply{ID: id, Result: change.Result{Code: code}}
}

// Status says which version is in force where.
type Status struct {
	// From is the instance that answers.
	From model.InstanceID
	// Current is true if the leader answered within its lease.
	Current bool
	Leader  model.InstanceID
	Term    uint64
	// Version is the latest version that the answering instance knows.
	Version   model.Version
	Members   []model.InstanceID
	Instances []InstanceStatus
}

// InstanceStatus is the state of one known instance.
type InstanceStatus struct {
	InstanceVersion
	// InRoster is true if the instance is part of the deployment.
	InRoster bool
	// Connected is true if the answering instance has a link to it.
	Connected bool
}
