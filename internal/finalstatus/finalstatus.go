// Package finalstatus tells the status codes of HTTP that may end an answer from others that a faulty
// peer may send.
package finalstatus

// Valid reports whether a final answer may have the status code: 200 to 599.
func Valid(code int) bool { return code >= 200 && code <= 599 }

// Interim reports whether an answer with the status code precedes a final one on the same connection.
// 101 does not: it ends HTTP there.
func Interim(code int) bool { return code >= 100 && code <= 199 && code != 101 }
