package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// KindHello is the kind of Hello.
const KindHello Kind = 1

func init() {
	register[Hello](KindHello)
}

// Hello is the first message on a link, in both directions.
type Hello struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// Address is where the sender takes callers' requests.
	Address string
	// PeerAddress is where the sender takes links.
	PeerAddress string
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }
