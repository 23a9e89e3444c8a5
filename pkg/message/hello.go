package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// KindHello is the number of the message type Hello.
const KindHello Kind = 1

func init() {
	register[Hello](KindHello)
}

// Hello is the first message that each side sends on a new connection
// between instances. It identifies the sender.
type Hello struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// Address is where the sender accepts requests from callers.
	Address string
	// PeerAddress is where the sender accepts connections from other instances.
	PeerAddress string
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }
