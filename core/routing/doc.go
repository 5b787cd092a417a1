// Package routing selects the route of a request and the service that it is sent to.
//
// A Config is one version of the routes, services and limits of callers. A Table is built
// from it once and is immutable, so that it may be read without a lock. A Splitter
// holds the state of the weighted distribution and is not safe for concurrent use.
package routing
