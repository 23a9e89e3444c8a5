package model

// MaxRecordedBodyBytes is the size of the largest response body that the ledger
// stores. For a request with a larger response, the ledger records only that the
// request was executed.
const MaxRecordedBodyBytes = 64 << 10

// HeaderField is one header field of a recorded response.
type HeaderField struct {
	Name  string
	Value string
}

// Answer is the recorded response to a request with an idempotency key.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}
