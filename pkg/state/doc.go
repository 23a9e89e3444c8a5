// Package state composes the sub-reducers into the single reducer of an instance.
// Instances with this reducer grant each other permits for the slots of upstreams.
// Package fleet composes the reducer of instances with the entry or the control
// role.
//
// State.Step is deterministic: its effects depend only on the identity and on the
// events so far. It must be called from one goroutine only.
package state
