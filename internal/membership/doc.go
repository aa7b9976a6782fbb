// Package membership keeps one node's view of its cell: which members live,
// where they are reached, and which of them owns each partition. Core is pure:
// time and received heartbeats come in as arguments, messages to send come
// out, so the same code runs in nodes and in simulations.
//
// Nothing here is a promise. Views of two nodes may differ for a while, and two
// nodes may both believe that they own a partition. Correctness rests on the
// conditional writes of the table service; a wrong view costs time only.
//
// Failure detection. Every member sends a heartbeat to every other each
// HeartbeatEvery. A member silent for SuspectAfter is Suspect, which changes no
// routing; one silent for DeadAfter is Dead and loses its partitions. If its
// address refuses connections and no heartbeat has come since, its process has
// ended while its machine lives, and RefusedDeadAfter of silence is enough, or
// none if its connections broke before (unless it said that it leaves: its
// listener may be closed before it ends). A heartbeat under a higher incarnation ends the older one at once; heartbeats
// of an older incarnation, or older than one already seen, are ignored. Dead
// members are probed at a lower rate and forgotten after a while.
//
// Steady routing. A member counts as heard by what arrives from it alone. With
// a link cut one way, the side that still hears keeps the other in its view,
// and only the side that hears nothing moves the partitions; requests routed
// into the cut fail as not sent, and are the router's matter. A member that was
// dead and is heard again is Returning: it is alive, but owns partitions again
// only after it has been heard for DeadAfter without a gap of SuspectAfter, so
// that a bad link does not move partitions back and forth. Time in which this
// node itself did not run (Tick was not called) does not count as silence of
// the others.
//
// Introductions. Zone, address and cell travel in a heartbeat only until the
// receiver's own heartbeats show that it has them. Every heartbeat carries a
// digest of the live members that its sender hears; while two nodes' digests
// differ, they send each other the addresses of those members, at most once per
// change of the sender's digest and else every few heartbeats. An address
// learned so is only a place to send heartbeats to: a member enters the view
// when it is heard itself.
package membership
