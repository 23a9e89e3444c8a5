// Package permit is the sub-reducer that counts the slots of the upstreams that
// this instance owns. Every attempt holds one permit. A permit ends when the
// slot is known to be free, or when the attempt's deadline and a grace time
// have passed, since upstreams stop work at its deadline.
package permit
