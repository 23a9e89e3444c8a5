// Package request is the sub-reducer for requests: admission, the queue of each
// service, dispatch, retries, hedges and the result code of each request.
//
// Requests wait in the queue of their service. A request is assigned to an upstream
// only when that upstream has a free slot, so that no request queues at a slow
// upstream while another one is free.
package request
