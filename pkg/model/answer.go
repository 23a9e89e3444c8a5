package model

// MaxRecordedBodyBytes is the largest response body that the ledger keeps.
const MaxRecordedBodyBytes = 64 << 10

// HeaderField is one header line of a recorded answer.
type HeaderField struct {
	Name  string
	Value string
}

// Answer is the recorded answer of a keyed request.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}
