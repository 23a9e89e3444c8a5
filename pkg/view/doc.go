// Package view holds the immutable snapshot of the control state that traffic
// goroutines read, and answers look-ups from it. The control goroutine
// publishes a new View; a published one is never changed.
package view
