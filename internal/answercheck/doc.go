// Package answercheck finds broken answers of HTTP/1.1 servers that net/http takes for sound ones.
//
// An answer without a length ends with its connection. Transport reports one whose connection failed, such as by a reset, as
// broken also if net/http sees a plain end (see package connend). An answer with a length or in chunks is complete
// when its last byte has arrived, whatever becomes of the connection.
package answercheck
