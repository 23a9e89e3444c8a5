// Package registry holds the registrations of upstreams: the latest process start
// of each, its state, and the time of its last heartbeat. Heartbeats arrive at
// instances with the control role; pkg/fleet sends the registrations to all other
// instances. Late and superseded announcements have no effect.
package registry
