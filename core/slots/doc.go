// Package slots decides which requests run at one backend server, and when.
//
// A Station knows how many requests the server runs at once. It starts a request when a
// slot is free, lets it wait when it can still be answered in time, and refuses it
// otherwise, with the time after which there is likely to be room. Waiting requests are
// ordered by rank and arrival; one that more important arrivals have pushed too far back
// is refused at the next Tick, so that its caller can go elsewhere while there is time.
//
// Nothing here has a clock or starts a goroutine. A Station is not safe for concurrent use.
package slots
