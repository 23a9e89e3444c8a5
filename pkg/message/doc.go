// Package message defines what instances send to each other, a file a subject.
// The types know no encoding; pkg/codec turns them into CBOR.
package message
