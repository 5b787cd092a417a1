// Package routing selects the route of a request and the service that it goes to.
//
// A Config is one version of the routes, services and client limits. A Table is built
// from it once and is immutable, so that it may be read without a lock; a Splitter
// holds the running state of weighted routes and is not safe for concurrent use.
package routing
