// Package quota divides the quotas of tenants among daemons so that in each window of Bounds.Window, all
// daemons together run at most (rate x window + burst) x (1 + overshoot) + slack requests of a tenant.
//
// A Node is the part of one daemon. The owner of a tenant is the daemon that rendezvous hashing of the
// tenant's name gives over the daemons that are listed. It keeps a token bucket for the tenant. The others
// ask it for tokens when they have requests, and use them within Bounds.lifetime. While the owner does not
// answer, each daemon has a small share of its own, the floor.
//
// What the bound allows beyond the quota is divided: floorShare for the floors, lifetimeShare for tokens
// that are used later than they were granted, capacityShare for the capacity of the bucket, and the rest for
// two daemons that own a tenant at the same time for a moment. docs/design/quotas.md has the sums.
//
// A daemon that becomes owner holds no burst: its bucket is empty handoverTime after the change, when the
// previous owner has received it too. Messages carry the version of the latest list of daemons that their sender
// has heard of; an owner whose list is an earlier one grants nothing after catchUpTime until it has that. An
// owner that has had no answer from any other daemon for contactTime
// may have been replaced without having received that. It grants nothing until it has one, and after a gap
// its buckets begin empty.
//
// The package does no I/O and reads no clock. Times are readings of a steady clock that also counts the
// time in which the VM is suspended. A Node is not safe for concurrent use. It answers a load of about one
// question for each request of a tenant with a quota; its memory is bounded by the tenants in use.
package quota
