// Package answercheck finds broken answers of HTTP/1.1 servers that net/http takes for sound ones.
//
//   - A status outside of 100 to 599, or 101, which ends HTTP on its connection.
//   - A field whose name is no token (RFC 9110, 5.1), in the head of a final or interim answer or in its trailer. net/http takes
//     blanks in names and then doesn't recognise the field, which may be one that frames the answer.
//   - A status 204 or 205 with content.
//   - In answers that are passed on, a part or a repetition that was not asked for: 206 to a request without a range or without the range that it holds,
//     304 to a request without a condition.
//   - An answer without a length whose connection failed, such as by a reset, also if net/http sees a plain end (see package
//     connend). An answer with a length or in chunks is complete when its last byte has arrived, whatever becomes of the
//     connection.
//
// Head, Version, Fits and Body check answers that were read with http.ReadResponse, Transport those of an http.Transport.
//
// A head that contradicts what a protocol above HTTP asks for is judged by package answerclass; Contradiction is its error.
//
// Limits: lines that continue a field (obs-fold) are joined by net/http, as RFC 9112, 5.2, allows. http.Transport may hand the
// connection of an invalid answer without a body to a request that waits for one; that request fails then.
package answercheck
