// Package exchange is the transport of the control exchange between daemons, over
// net/rpc.
//
// The contents of an exchange are node.Digest values. The arguments and replies of
// net/rpc are byte strings: a format version, then JSON compressed with a
// dictionary. gob would send the descriptions of all types on every new connection,
// and a large fleet opens one for most exchanges.
//
// A client keeps a small number of connections open. A configuration is fetched
// over a connection of its own. Message sizes, the number of connections, idle times
// and write times are bounded on both sides. The caller's context bounds a call.
package exchange
