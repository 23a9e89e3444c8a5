// Package codec encodes messages between instances, recorded events, replicated
// log entries, snapshots and configurations as CBOR. The packages that make
// decisions do not import it, so that they stay independent of the encoding.
package codec
