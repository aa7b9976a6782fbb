// Package zonefeed has one process of a zone watch the tables that all processes follow, and
// tell the others what changed, so that the table service is asked once a zone and not once a
// process.
//
// Which process that is follows from the peers that are known ([rendezvous]); nothing is agreed
// on. So two processes may watch at once, or none may for a moment. Neither does harm: rows carry
// the service's versions, and a process that hears nothing asks the service itself.
//
// What a watcher says is never older than what it has read, and it says nothing unless the
// service has just answered it. A process believes its watcher from one word to the next, for
// silenceLimit at most.
//
// A process that hears neither its watcher nor the service asks some others, near and far, for what they
// know. That is put in force and vouched for by nobody: there may be something newer still.
package zonefeed
