// Package state composes the sub-reducers into the one reducer of an instance.
//
// State.Step is pure: it depends on the events so far and on nothing else. It
// must be called from one goroutine only.
package state
