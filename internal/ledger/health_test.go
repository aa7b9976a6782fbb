package ledger

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// TestLostWayStopsAllParts shows that one call without a connection stops
// calls to every part but for probes, and that it is forgotten in time.
func TestLostWayStopsAllParts(t *testing.T) {
	h := newHealth()
	now := time.Unix(100, 0)
	lost := errors.Mark(tablestore.ErrUnavailable, tablestore.ErrUnreachable)
	h.report(1, lost, now)
	if h.allow(2, now.Add(probePeriod/2)) {
		t.Error("a call was allowed to another part right after the way was lost")
	}
	if !h.allow(2, now.Add(probePeriod)) {
		t.Error("no probe was allowed")
	}
	if h.reachable(now.Add(memoryPeriod / 2)) {
		t.Error("the table counts as reachable")
	}
	if !h.reachable(now.Add(2 * memoryPeriod)) {
		t.Error("a failure is never forgotten")
	}
	if soon := h.comeBack(now.Add(soonPeriod / 2)); soon > 2*comeBackSoon {
		t.Errorf("callers are told to come back in %s, though another node may do at once", soon)
	}
	h.report(2, nil, now.Add(time.Second))
	if !h.allow(3, now.Add(time.Second)) || !h.reachable(now.Add(time.Second)) {
		t.Error("a call that succeeded did not heal the way")
	}
}

// TestFailingPartStopsAlone shows that other parts go on.
func TestFailingPartStopsAlone(t *testing.T) {
	h := newHealth()
	now := time.Unix(100, 0)
	for range failuresToOpen {
		h.report(1, tablestore.ErrUnavailable, now)
	}
	if h.allow(1, now.Add(time.Millisecond)) {
		t.Error("the failing part is still asked")
	}
	if !h.allow(2, now.Add(time.Millisecond)) || !h.reachable(now) {
		t.Error("another part is not asked")
	}
}
