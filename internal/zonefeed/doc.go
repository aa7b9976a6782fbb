// Package zonefeed elects one process of a zone to watch the tables that all processes follow, and to
// send the changes to the others, so that the table service gets one call per zone and not one per
// process.
//
// The watcher is chosen from the known peers by rendezvous hashing ([rendezvous]), without an agreement
// protocol. So two processes may watch at once, or none may for a moment. Neither causes harm: rows carry
// the service's versions, and a process that gets no answer from a watcher calls the service itself.
//
// A watcher's answer is never older than what it has read, and it answers only if the service has
// answered it recently. A follower relies on its watcher from one message to the next, for
// idleTimeout at most.
//
// A process that gets no answer from its watcher or the service queries some others, near and far, for their data.
// It applies that data as unconfirmed: a newer version may exist.
package zonefeed
