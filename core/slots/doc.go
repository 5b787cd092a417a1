// Package slots decides which requests run at one backend server, and when.
//
// A Limiter bounds the number of requests that the server runs at once. It starts a request
// when a slot is free, queues it when it can still be answered in time, and refuses it
// otherwise, with the expected time until a slot is free. The queue is ordered by rank; within
// a rank, tenants share the slots by start-time fair queueing, and the requests of a tenant, or
// those without one, keep the order of arrival. A queued request whose expected wait has grown too long because of more
// important arrivals is refused at the next Tick, so that its caller can try another server
// while there is time.
//
// Nothing here reads a clock or starts a goroutine. A Limiter is not safe for concurrent use.
package slots
