package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// PeerReceived brings a message of another instance.
type PeerReceived struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Message     message.Message
}

// PeerConnected says that a link to another instance stands.
type PeerConnected struct {
	Peer        model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// Address is where the peer takes callers' requests.
	Address string
	// PeerAddress is where the peer takes links.
	PeerAddress string
}

// PeerLost says that the link to another instance broke.
type PeerLost struct {
	Peer model.InstanceID
}

func (PeerReceived) isBody()  {}
func (PeerConnected) isBody() {}
func (PeerLost) isBody()      {}

// Send sends a message to another instance. It may be lost.
type Send struct {
	To      model.InstanceID
	Message message.Message
}

// Connect keeps a link to the address from now on.
type Connect struct {
	Address string
}

func (Send) isEffect()    {}
func (Connect) isEffect() {}
