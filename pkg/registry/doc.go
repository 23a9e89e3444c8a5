// Package registry holds the registrations of upstreams: the latest process
// start of each upstream, its state, and the time of its last heartbeat.
// Upstreams send their heartbeats to control instances; pkg/fleet sends the
// registrations to all other instances. Heartbeats that arrive late, or that
// were sent by an earlier process of the upstream, have no effect.
package registry
