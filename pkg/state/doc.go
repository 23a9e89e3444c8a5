// Package state composes the sub-reducers, such as those of packages request,
// upstream and permit, into one reducer that handles all events of an instance.
//
// An upstream has as many slots as it can execute requests concurrently. One instance
// owns the upstream and grants permits to itself and to other instances. A permit
// allows one attempt of a request to use one slot.
//
// Instances with the entry or the control role use the reducer of package fleet
// instead.
//
// State.Step is deterministic: its effects depend only on the identity and on the
// events so far. It must be called from one goroutine only.
package state
