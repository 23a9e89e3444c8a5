// Package codec encodes messages between instances and recorded events as
// CBOR. Nothing below pkg/control depends on it.
package codec
