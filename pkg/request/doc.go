// Package request is the sub-reducer for requests: admission, the queue of each
// service, dispatch, retries and the code that each request ends with.
//
// Requests wait here and are bound to an upstream only when a slot is free, so
// that nothing queues behind a slow upstream.
package request
