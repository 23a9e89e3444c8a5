// Package event defines the inputs and outputs of the reducer: events, which
// carry everything a decision may depend on, and effects, which say as data
// what the process is to do. The interpreter in pkg/control turns effects into
// I/O and the results of I/O into events. Neither side knows an encoding.
package event
