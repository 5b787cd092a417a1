// Package pipeline serves HTTP/1.1 connections whose requests are handled side by side and
// answered in the order in which they came.
//
// net/http handles one request of a connection after the other, so that the time of one
// adds to that of all behind it, and it sees that a caller has gone only when all that the
// caller sent has been read. This server reads on while requests are handled: the context
// of each ends when the connection does.
//
// A request whose method is not safe is handled only when all before it are answered. A
// caller takes what it sent behind an answer that closes the connection as not read, and
// sends it again; nothing but a safe request may have been handled by then.
//
// Requests are parsed by net/http. Bodies up to BodyAhead bytes are read before the
// handler is called; of longer ones the handler reads the rest, and the connection reads
// on when it is done.
package pipeline
