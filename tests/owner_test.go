package tests

import (
	"context"
	"sync"
	"testing"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/standin/tool"
)

// TestOwnerKilledDuringToolCall kills a program's owner while a call that
// must not run twice is at the tool. The next owner must not dispatch it
// again, whatever it answers, and the program goes on with its history.
func TestOwnerKilledDuringToolCall(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, size{engines: 2, nodes: 3})
	history := newHistories()
	program := d.createProgram("owner-killed")
	history.ask(t, d.nodes[0], program.ID, 1)
	owner, other := d.ownerAndOther(program.ID)

	setFaults(t, d.toolURL, tool.Faults{Hang: true})
	var answered sync.WaitGroup
	var result api.CallResult
	answered.Go(func() { result = callWithRetry(t, other, program.ID, 2, publication) })
	waitUntil(t, "the tool runs the call", func(context.Context) bool {
		return len(fetch[[]tool.Execution](t, d.toolURL+"/log")) > 0
	})
	owner.kill()
	setFaults(t, d.toolURL, tool.Faults{})
	answered.Wait()

	if result.Execution == api.NotRun {
		t.Errorf("a call that ran was answered as not run: %+v", result)
	}
	checkToolsRanOnce(t, d, 1)
	history.ask(t, other, program.ID, 3)
}

// TestFrozenOwnerIsFenced freezes a program's owner until another node has
// taken the program over, and then lets it go on.
func TestFrozenOwnerIsFenced(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, size{engines: 2, nodes: 3})
	history := newHistories()
	program := d.createProgram("owner-frozen")
	history.ask(t, d.nodes[0], program.ID, 1)
	owner, other := d.ownerAndOther(program.ID)

	owner.freeze()
	history.ask(t, other, program.ID, 2)
	taken, err := other.caller().Program(t.Context(), program.ID)
	if err != nil {
		t.Fatal(err)
	}
	if taken.Owner == owner.name || taken.Epoch <= program.Epoch {
		t.Fatalf("not taken over: owner %s, epoch %d", taken.Owner, taken.Epoch)
	}

	owner.thaw()
	history.ask(t, owner, program.ID, 3)
	history.ask(t, other, program.ID, 4)
}

// TestPlannedStopReleasesIdlePrograms stops the owner of a program between
// two calls. No reservation may be lost by it, and nothing of the stopped node
// may be left for the next owner to wait for.
func TestPlannedStopReleasesIdlePrograms(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, size{engines: 2, nodes: 3})
	history := newHistories()
	created := d.createProgram("idle-at-stop")
	first := history.ask(t, d.nodes[0], created.ID, 1)
	owner, other := d.ownerAndOther(created.ID)
	owner.stop()
	if header := d.header(created.ID); header.Owner == owner.name || header.Reserved != 0 {
		t.Errorf("not released: owner %q, reserved %d", header.Owner, header.Reserved)
	}
	second := history.ask(t, other, created.ID, 2)
	if header := d.header(created.ID); header.Spent != first.Cost+second.Cost {
		t.Errorf("spent %d, the calls cost %d and %d", header.Spent, first.Cost, second.Cost)
	}
}
