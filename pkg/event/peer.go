package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// PeerReceived carries a message from another instance.
type PeerReceived struct {
	From model.InstanceID
	// Incarnation identifies the process that sent the message.
	Incarnation model.Incarnation
	Message     message.Message
}

// PeerConnected reports that a connection to another instance is open.
type PeerConnected struct {
	Peer        model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// Address is the address where the peer accepts requests from callers.
	Address string
	// PeerAddress is the address where the peer accepts connections from other
	// instances.
	PeerAddress string
}

// PeerLost reports that the connection to another instance was lost.
type PeerLost struct {
	Peer model.InstanceID
}

func (PeerReceived) isBody()  {}
func (PeerConnected) isBody() {}
func (PeerLost) isBody()      {}

// Send sends a message to another instance. Delivery is not guaranteed.
type Send struct {
	To      model.InstanceID
	Message message.Message
}

// Connect opens a connection to the instance at the address and reopens the
// connection whenever it is lost.
type Connect struct {
	Address string
}

// Reconnect closes the connection on which messages are sent to an instance and opens
// another one. It does nothing if there is none.
type Reconnect struct {
	Peer model.InstanceID
}

func (Send) isEffect()      {}
func (Connect) isEffect()   {}
func (Reconnect) isEffect() {}
