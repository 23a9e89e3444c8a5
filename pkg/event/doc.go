// Package event defines the inputs and outputs of the reducer. Events carry all
// data that a decision may depend on. Effects describe, as data, the actions
// that the process must execute. The interpreter in pkg/control executes
// effects as I/O and reports the results of I/O as events. Neither the reducer
// nor the interpreter depends on an encoding.
//
// Events can be recorded as CBOR; effects are not encoded. A cbor tag on a
// renamed event field keeps its former key, so that earlier recordings can
// still be decoded.
package event
