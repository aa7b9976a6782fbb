package soak

import (
	"testing"
	"time"
)

// TestMemoryOverTheLimitIsFound reads a process's memory at its limit and above.
func TestMemoryOverTheLimitIsFound(t *testing.T) {
	c := NewChecker(1)
	c.Memory(time.Second, "node-1", "", memoryLimit)
	if findings := c.TakeFindings(); len(findings) > 0 {
		t.Errorf("memory at the limit was found: %+v", findings)
	}
	c.Memory(2*time.Second, "node-1", "", memoryLimit+1)
	if findings := c.TakeFindings(); len(findings) != 1 || findings[0].Promise != WithinMemory || findings[0].Process != "node-1" {
		t.Errorf("got %+v, want one finding of the process's memory", findings)
	}
}

// TestAnswerThatIsReadWithoutEndIsFound has an engine get rid of all that it sends.
func TestAnswerThatIsReadWithoutEndIsFound(t *testing.T) {
	c := NewChecker(1)
	c.AttemptSent(0, Attempt{ID: "r1", Process: "node-1"})
	c.EndlessAnswerClosed(time.Second, "r1", "models1-1", "headers", maxEndlessBytes-1, maxEndlessBytes)
	if findings := c.TakeFindings(); len(findings) > 0 {
		t.Errorf("an answer that was aborted was found: %+v", findings)
	}
	c.EndlessAnswerClosed(time.Second, "r1", "models1-1", "headers", maxEndlessBytes, maxEndlessBytes)
	if findings := c.TakeFindings(); len(findings) != 1 || findings[0].Promise != EndlessAborted || findings[0].Engine != "models1-1" {
		t.Errorf("got %+v, want one finding at the engine", findings)
	}
}
