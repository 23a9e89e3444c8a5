// Package request is the sub-reducer for requests: admission, the queue of each
// service, dispatch, retries, hedges and the result code of each request.
//
// Requests wait in the queue of their service and are assigned to an upstream
// only when it has a free slot, so that no request queues behind a slow
// upstream.
package request
