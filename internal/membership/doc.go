// Package membership keeps one node's view of its cell: which members are live,
// their addresses, and which of them owns each partition. Core is pure: time
// and received heartbeats are arguments, messages to send are results, so the
// same code runs in nodes and in simulations.
//
// The view gives no guarantee. Views of two nodes may differ temporarily, and
// two nodes may both act as the owner of a partition. Correctness rests on the
// conditional writes of the table service; a wrong view only costs time.
//
// Failure detection. Every member sends a heartbeat to every other one each
// HeartbeatEvery. A member without a heartbeat for SuspectAfter is Suspect,
// which changes no routing; one without a heartbeat for DeadAfter is Dead and
// loses its partitions. If its address refuses connections and no heartbeat has
// arrived since, its process has ended while its machine still runs, and a
// shorter time without a heartbeat is enough: DeadAfterRefusal, or none if its
// connections broke before. This does not apply to a member that has announced
// that it leaves, as it may close its listener before it ends. A heartbeat of a
// higher incarnation ends the older incarnation at once; heartbeats of an older
// incarnation, or older than one already received, are ignored. Dead members
// are probed at a lower rate and forgotten after forgetAfter.
//
// Stable routing. Only heartbeats received from a member itself keep it in the
// view. If a link fails in one direction, the side that still receives keeps the
// other in its view, and only the side that receives nothing moves the
// partitions. Requests routed over the failed link fail as not sent, and the
// router handles that. A dead member whose heartbeats arrive again is Returning:
// it is alive, but owns partitions only after its heartbeats have arrived for
// DeadAfter without a gap of SuspectAfter, so that a bad link does not move
// partitions back and forth. Time in which this node itself did not run (Tick
// was not called) does not count as missing heartbeats of the others.
//
// Introductions. A heartbeat contains zone, address and cell only until the
// receiver's own heartbeats show that it has them. Every heartbeat contains a
// digest of the live members from which its sender receives heartbeats. While
// the digests of two nodes differ, they send each other the addresses of those
// members, at most once for each change of the sender's digest and otherwise
// every addressesEveryBeats heartbeats. A node only sends heartbeats to an
// address learned this way: the member enters the view when its own heartbeat
// arrives.
package membership
