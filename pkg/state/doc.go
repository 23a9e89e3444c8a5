// Package state composes the sub-reducers into the single reducer of an
// instance that grants permits for the slots of upstreams. Package fleet
// composes the reducer of instances with the entry or the control role.
//
// State.Step is deterministic: its effects depend on the identity and the events
// so far only. It must be called from one goroutine only.
package state
