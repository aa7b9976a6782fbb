package commitgroup

import (
	"testing"
	"time"
)

// TestOverdueResponseKeepsLostPartIsolated: a part whose own group was lost gives an overdue response. It must stay
// isolated, as any part whose response was overdue: it would make a group of several parts overdue.
func TestOverdueResponseKeepsLostPartIsolated(t *testing.T) {
	q, now := newQueue(true), time.Unix(0, 0)
	q.recordLost("1", now)
	q.updateIsolation("1", true, now)
	if !q.isIsolated("1", now) {
		t.Error("the part is not isolated after an overdue response")
	}
}

// TestOldLossDoesNotEndIsolation: a part lost a group of its own, and an hour later another one does. A response of the
// first part says nothing about the second, which must stay isolated.
func TestOldLossDoesNotEndIsolation(t *testing.T) {
	q, now := newQueue(true), time.Unix(0, 0)
	q.recordLost("1", now)
	now = now.Add(time.Hour)
	if q.isIsolated("1", now) {
		t.Fatal("isolated for an hour")
	}
	q.recordLost("2", now)
	q.updateIsolation("1", false, now)
	if !q.isIsolated("2", now) {
		t.Error("a response of part 1, which was lost an hour ago, ended the isolation of part 2")
	}
}
