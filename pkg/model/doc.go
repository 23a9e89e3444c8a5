// Package model holds the vocabulary that every other package shares:
// identifiers, time, profiles, the dynamic configuration that operators change
// and the announcements of upstreams. It has no behaviour beyond validation
// and depends on no other package of the module.
package model
