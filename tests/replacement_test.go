package tests

import (
	"testing"

	"github.com/pewtermill/pewtermill/api"
)

// longLived is how many programs last from the first nodes to the last.
const longLived = 6

// TestAllNodesReplaced replaces every node under load by one with another name
// and address, every second one without notice, until none of the first is
// left. Programs that were made at the start go on with their histories,
// however often their owner is the one that is replaced.
func TestAllNodesReplaced(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, size{engines: 3, nodes: 3})
	w := startWorkload(t, d, 41)
	history := newHistories()
	var programs []api.Program
	for range longLived {
		programs = append(programs, d.create(api.CreateProgramRequest{Class: "batch", Budget: programBudget}))
	}
	sequence := int64(1)
	for index, first := range d.nodes {
		for _, created := range programs {
			history.ask(t, d.nodes[index], created.ID, sequence)
		}
		sequence++
		d.replaceNode(index, first.name+"-next")
		if index%2 == 1 {
			first.kill()
		} else {
			first.stop()
		}
		w.waitProgress(callersAtOnce)
	}
	for _, created := range programs {
		history.ask(t, d.nodes[0], created.ID, sequence)
		if _, err := d.nodes[1].caller().EndProgram(t.Context(), created.ID); err != nil {
			t.Error(err)
		}
	}
	w.finish()
}
