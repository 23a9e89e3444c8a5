// Package model defines the data types that all other packages share:
// identifiers, time, profiles, the configuration that operators change, and the
// announcements and registrations of upstreams. Its code is limited to
// validation, ordering, parsing and look-ups, and it imports no other package of
// the module.
package model
