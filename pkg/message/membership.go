package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of membership messages, by which instances detect failures of each other
// and exchange the list of all instances.
const (
	KindMemberPing        Kind = 50
	KindMemberAck         Kind = 51
	KindMemberPingRequest Kind = 52
	KindMemberSyncRequest Kind = 53
	KindMemberSyncReply   Kind = 54
)

func init() {
	register[MemberPing](KindMemberPing)
	register[MemberAck](KindMemberAck)
	register[MemberPingRequest](KindMemberPingRequest)
	register[MemberSyncRequest](KindMemberSyncRequest)
	register[MemberSyncReply](KindMemberSyncReply)
}

// MemberStatus is the status of an instance according to failure detection.
type MemberStatus uint8

// Member statuses, in order of precedence: if two records of an instance have
// the same incarnation and revision, the record with the higher status wins.
const (
	MemberAlive MemberStatus = iota
	MemberSuspect
	MemberDead
)

// Member is the membership record of an instance. It is encoded without field
// names, since most membership traffic consists of these records.
type Member struct {
	_           struct{} `cbor:",toarray"`
	ID          model.InstanceID
	Incarnation model.Incarnation
	// Revision is incremented only by the instance itself, to refute a suspicion
	// and to announce that it is leaving.
	Revision uint32
	Status   MemberStatus
	// Leaving is true if the instance accepts no new callers.
	Leaving bool
	Zone    model.Zone
	// Address is where the instance accepts requests from callers.
	Address string
	// PeerAddress is where the instance accepts connections from other instances.
	PeerAddress string
}

// MemberPing checks whether an instance is alive. The receiver replies with a
// MemberAck.
type MemberPing struct {
	Seq uint64
	// From is the sender's own membership record.
	From Member
	// Updates contains membership records that changed recently.
	Updates []Member
}

// MemberAck answers a MemberPing. It also answers a MemberPingRequest after the
// target of that request has answered a ping.
type MemberAck struct {
	Seq     uint64
	Updates []Member
}

// MemberPingRequest asks the receiver to ping the target on behalf of the
// sender and to acknowledge this request if the target answers.
type MemberPingRequest struct {
	Seq     uint64
	Target  model.InstanceID
	Updates []Member
}

// MemberSyncRequest asks for a page of the member list.
type MemberSyncRequest struct {
	// After is an instance identifier. The page begins with the first member whose
	// identifier is larger.
	After model.InstanceID
	// Wrap asks for a full page. If the list ends before the page is full, the page
	// continues with the first member of the list.
	Wrap bool
}

// MemberSyncReply is a page of the member list in identifier order.
type MemberSyncReply struct {
	Members []Member
	// More is true if the list has further members after the page.
	More bool
}

// Kind implements Message.
func (*MemberPing) Kind() Kind { return KindMemberPing }

// Kind implements Message.
func (*MemberAck) Kind() Kind { return KindMemberAck }

// Kind implements Message.
func (*MemberPingRequest) Kind() Kind { return KindMemberPingRequest }

// Kind implements Message.
func (*MemberSyncRequest) Kind() Kind { return KindMemberSyncRequest }

// Kind implements Message.
func (*MemberSyncReply) Kind() Kind { return KindMemberSyncReply }
