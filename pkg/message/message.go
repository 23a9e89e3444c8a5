package message

// Kind identifies a message type on the wire. A number is never reused for
// another type. Each subsystem has a range of numbers. The ranges start at 1 for
// connections, 10 permits, 20 ledger, 30 agreement, 40 distribution, 50
// membership and 60 fleet.
type Kind uint16

// Message is a message from one instance to another.
type Message interface{ Kind() Kind }

// registry maps each kind to a constructor of an empty message.
var registry = map[Kind]func() Message{}

// register adds a message type. It panics if the kind is already registered,
// which is a programming error.
func register[M any, P interface {
	*M
	Message
}](kind Kind) {
	if _, ok := registry[kind]; ok {
		panic("message: kind registered twice")
	}
	registry[kind] = func() Message { return P(new(M)) }
}

// New returns an empty message of the kind, or nil if the kind is unknown.
func New(kind Kind) Message {
	if newMessage, ok := registry[kind]; ok {
		return newMessage()
	}
	return nil
}
