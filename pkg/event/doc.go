// Package event defines the inputs and outputs of the reducer. Events carry all
// data that a decision may depend on. Effects describe, as data, the actions
// that the process must execute. The interpreter in pkg/control executes
// effects as I/O and reports the results of I/O as events. Neither the reducer
// nor the interpreter depends on an encoding. A cbor tag keeps the key of a
// renamed event field, so that earlier recordings stay readable.
package event
