// Package loadshed sheds new requests where they enter the fleet, because a service further
// down the call graph cannot take the calls that they would cause.
//
// Work that was done for a request is wasted when one of its calls fails, and the slots that
// it holds while its calls wait are missing further up. Each daemon measures the demand for
// its backend server, and which share of the server's calls to each service is blocked, that
// is, fails for lack of capacity or of time. It passes both on with its replies, so that they
// reach the daemons where requests enter. There, a Gate refuses a share of the kinds of request
// that lead to a service, starting with the least important rank. Some requests of each rank
// are always admitted, so that recovery is noticed.
//
//   - The demand for a service follows what was admitted some time before. From both, the Gate
//     computes which share of the requests the service has room for. It does not integrate
//     the difference to a target, since calls follow the admission of their request by up to
//     seconds.
//   - A share of calls that is blocked although the demand is low, for example by upstreams
//     that reject requests, or because a service has no upstream, raises a level for as long as
//     it lasts.
//
// Nothing here reads a clock or starts a goroutine. The types are not safe for concurrent use.
package loadshed
