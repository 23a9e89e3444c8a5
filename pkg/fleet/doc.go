// Package fleet is the reducer of instances with the entry or the control role.
// Control instances agree on configuration items and evacuations through the
// replicated log, receive the heartbeats of upstreams and answer lookups. Entry
// instances forward routed requests to upstreams. Both roles run the same
// reducer, which is composed of these sub-reducers:
//
//	catalog    items and evacuations; control instances apply them from the
//	           replicated log, entry instances merge them by version
//	registry   registrations of upstreams
//	replica    replicates catalog and registry records between instances
//	agreement  the replicated log, on control instances only
//	balance    selection of upstreams, on entry instances only
//	routed     routed requests, on entry instances only
package fleet
