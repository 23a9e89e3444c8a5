// Package fleet is the composed reducer of instances with the entry or the
// control role. Control instances agree on configuration items and evacuations,
// receive the heartbeats of upstreams and answer lookups. Entry instances forward
// requests by route. Both roles run the same reducer, composed of these parts:
//
//	catalog    items and evacuations; control instances apply them from the
//	           replicated log, entry instances merge them by version
//	registry   registrations of upstreams
//	replica    replicates catalog and registry records between instances
//	agreement  the replicated log, on control instances only
//	balance    selection of upstreams, on entry instances only
//	routed     requests, on entry instances only
package fleet
