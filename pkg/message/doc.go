// Package message defines the messages that instances send to each other, one
// file per subsystem. The types are independent of the wire format; pkg/codec
// encodes them as CBOR. A field whose Go name was changed has a cbor tag with its
// wire key, the former name.
package message
