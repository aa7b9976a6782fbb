package scheduler

import "time"

// ColdStarts reports which engines are cold. An engine is cold for a time after it starts, or
// after the evacuation of its zone is lifted: it then has capacity for only a few requests per
// second, summed over all nodes.
type ColdStarts interface {
	// HeldBack reports whether this node may not send the engine any call at the moment.
	HeldBack(engine string, now time.Time) bool
	// Cold reports whether the engine is cold.
	Cold(engine string, now time.Time) bool
	// Assigned records that a call was assigned to the engine. It returns the time by which
	// the call must be sent; zero means no limit. The core calls it for each assignment before
	// it evaluates the next call.
	Assigned(engine string, now time.Time) time.Time
}

// noColdStarts is the ColdStarts of a core whose engines are never cold.
type noColdStarts struct{}

func (noColdStarts) HeldBack(string, time.Time) bool { return false }

func (noColdStarts) Cold(string, time.Time) bool { return false }

func (noColdStarts) Assigned(string, time.Time) time.Time { return time.Time{} }

// SetColdStarts sets the source for cold engines. Before the first call no engine is cold.
func (c *Core) SetColdStarts(cold ColdStarts) { c.cold = cold }
