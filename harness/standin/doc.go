// Package standin simulates the outside systems that tests and `hawthornpoint try`
// run against: the configuration service with its VM list, and backend servers.
//
// Platform answers the two reads of the platform and can be made to fail, delay
// answers, serve old or damaged content, and refuse reads above a rate. Backend runs
// requests with a bounded number of slots, calls downstream services through a
// given egress address, and can be made to slow down, hang, refuse requests, crash,
// drain and report false or outdated health or load. Its answers are a function of
// the configuration, the request kind and the request body, see Expected, so that a
// test can check the answer of a complete call tree.
//
// A request body may contain directives, separated by white space. The body is
// passed on to all downstream calls, so a directive reaches every downstream service.
//   - crash=SERVICE or crash=SERVICE/KIND: that backend server closes its listener
//     and all its connections when it runs the request. The URL query takes the
//     same directive, but is not passed on.
//   - bytes=N: the answer has at least N bytes; N is capped at MaxAnswerBytes.
//
// Both stand-ins count every run or read for tests and never discard what they have
// recorded, so they are not meant to run for days. All methods are safe for
// concurrent use.
package standin
