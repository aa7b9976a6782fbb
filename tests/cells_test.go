package tests

import (
	"testing"
)

// Failures of two cells of two nodes each, whose callers ask nodes of both.
var cellFailures = []failure{
	{"cells in health", func(_ *deployment, w *workload) { w.waitProgress(4 * callersAtOnce) }},
	{"seed of a cell killed", killSeed},
	{"seed of a cell frozen", freezeNode},
	{"seed of a cell stopped", stopSeed},
}

// TestInvariantsOverTwoCells is TestInvariantsUnderFailure with programs of
// two cells, each of which is served through nodes of the other too.
func TestInvariantsOverTwoCells(t *testing.T) {
	checkInvariants(t, size{engines: 3, nodes: 4, cells: 2}, cellFailures)
}

// killSeed kills a node that the bundle names as a seed of its cell; what
// takes its place has an address that the bundle does not name.
func killSeed(d *deployment, w *workload) {
	d.nodes[1].kill()
	w.waitTakeover(d.nodes[1].name)
	d.replaceNode(1, "replacement")
	w.waitProgress(2 * callersAtOnce)
}

func stopSeed(d *deployment, w *workload) {
	stopped := d.nodes[1]
	d.replaceNode(1, "replacement")
	stopped.stop()
	w.waitProgress(4 * callersAtOnce)
}
