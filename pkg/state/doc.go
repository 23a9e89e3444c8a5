// Package state composes the sub-reducers into the single reducer of an instance.
//
// State.Step is deterministic: its effects depend on the identity and the events
// so far only. It must be called from one goroutine only.
package state
