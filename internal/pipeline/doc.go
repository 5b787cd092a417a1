// Package pipeline serves HTTP/1.1 connections with pipelining: the requests of a connection
// are handled concurrently and answered in the order in which they were received.
//
// net/http handles the requests of a connection one after the other, so that the time of
// each adds to that of all later ones, and it detects that a caller has disconnected only
// after everything that the caller sent has been read. This server continues to read while
// requests are handled, and the context of each request ends with the connection.
//
// A request whose method is not safe is handled only after all earlier ones have been
// answered. A caller assumes that requests which it sent after one whose response closes the
// connection were not read, and sends them again; only safe requests may have been handled
// by then.
//
// Requests are parsed by net/http. Bodies shorter than BodyBufferSize are read before the
// handler is called. The rest of a longer body is read by the handler, and the next request
// is read when the handler has returned.
package pipeline
