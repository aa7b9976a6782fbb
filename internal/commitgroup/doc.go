// Package commitgroup commits the transactions of many nodes through a few of them, the writers, so
// that one call to the table service carries many transactions (group commit). The service counts
// and prices calls, not rows.
//
// A writer has no authority: the conditions of each transaction hold as if its node had made the
// call itself, and a failed condition fails only its own transaction. Two writers at once, or none,
// cost more calls and never correctness. The queue and the send rate do no I/O and have no clock.
package commitgroup
