// Package answerclass classifies the answers of a backend server by what they say about the run of their request.
//
// An answer is read from three sources that a faulty server may write independently of each other: its status, the signature that
// a server puts on the answers of its runs, and the statement that the request was not run. One classification covers
// all three, so that no caller of this package acts on one of them alone:
//
//   - The statement decides that a request was not run. A status that guarantees the same to callers is no statement: without
//     it the request may have run.
//   - A server that is not the one that the request names says so with a status of its own, with or without the statement. Without it, a
//     signature shows that the answer is that of a run.
//   - A success counts with a signature and without the statement only.
//
// Everything else is an answer of the server's run, or Broken: the request may have run, nothing of the answer may reach the
// caller, and the connection is not used again.
//
// Limits: a status that was changed to another one of its class, or to a failure that guarantees nothing, can't be told from
// a sound one. What a signature holds is not read.
//
// Nothing here reads a clock or keeps state. The functions are safe for concurrent use.
package answerclass
