// Package simulation compares scheduling policies in virtual time. It runs
// the real scheduler core, one per simulated node, against the real timing
// model of engines, under a workload that is drawn from a seed. Load reports
// and cache events reach the nodes with a delay, as they do in a deployment.
//
// One Run is deterministic and uses one goroutine. Different runs share no
// mutable state and may run concurrently.
package simulation
