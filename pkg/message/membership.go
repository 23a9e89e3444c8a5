package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of membership messages.
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

// MemberStatus is what is believed of an instance.
type MemberStatus uint8

// Statuses. Of two beliefs about the same incarnation and revision, the higher
// one wins.
const (
	MemberAlive MemberStatus = iota
	MemberSuspect
	MemberDead
)

// Member describes an instance. It is encoded without field names, since most
// membership traffic consists of it.
type Member struct {
	_           struct{} `cbor:",toarray"`
	ID          model.InstanceID
	Incarnation model.Incarnation
	// Revision is raised by the instance itself, to refute a suspicion and to
	// announce that it leaves.
	Revision uint32
	Status   MemberStatus
	// Leaving says that the instance takes no new callers.
	Leaving bool
	Zone    model.Zone
	// Address is where the instance takes callers' requests.
	Address string
	// PeerAddress is where the instance takes links.
	PeerAddress string
}

// MemberPing asks an instance for a sign of life.
type MemberPing struct {
	Seq uint64
	// From describes the sender.
	From    Member
	Updates []Member
}

// MemberAck answers a ping, or a request to ping on behalf of another.
type MemberAck struct {
	Seq     uint64
	Updates []Member
}

// MemberPingRequest asks the receiver to ping the target and to pass on its
// answer.
type MemberPingRequest struct {
	Seq     uint64
	Target  model.InstanceID
	Updates []Member
}

// MemberSyncRequest asks for a page of the member list.
type MemberSyncRequest struct {
	// After is the identifier after which the page begins.
	After model.InstanceID
	// Wrap asks for a full page: after the last member it goes on with the first.
	Wrap bool
}

// MemberSync is a page of the member list, in identifier order.
type MemberSyncReply struct {
	Members []Member
	// More says that members follow after the page.
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
