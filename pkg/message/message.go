package message

// Kind numbers a message type. Numbers are never reused. Each subject has its
// own range: 1 links, 10 permits, 20 ledger, 30 agreement, 40 distribution, 50
// membership.
type Kind uint16

// Message is anything that one instance sends to another.
type Message interface{ Kind() Kind }

// registry maps each kind to a function that makes an empty message of it.
var registry = map[Kind]func() Message{}

// register adds a message type. It panics on a number used twice, which is a
// programming error.
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
	if f, ok := registry[kind]; ok {
		return f()
	}
	return nil
}
