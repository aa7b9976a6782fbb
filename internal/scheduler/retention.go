package scheduler

import (
	"fmt"
	"time"
)

// RetentionAction is the action on a program's cache during a pause.
type RetentionAction string

// Retention actions.
const (
	Keep    RetentionAction = "keep"    // keep it in the engine's memory
	Offload RetentionAction = "offload" // export it, and import it before the next turn
	Drop    RetentionAction = "drop"    // free it, and prefill again if the program resumes
)

// Defaults of Retention.
const (
	// DefaultOffloadShare is the time to export and import cache, as a fraction
	// of the time to rebuild it.
	DefaultOffloadShare = 0.2
	// DefaultMinOffload is the minimum rebuild time that is worth an export.
	DefaultMinOffload = 500 * time.Millisecond
	// DefaultLowPressure is the fraction of memory in use below which freeing cache
	// has no benefit.
	DefaultLowPressure = 0.7
)

// Pause is a program's pause between two model calls.
type Pause struct {
	Expected            time.Duration // expected time until the next turn
	ReturnChance        float64       // probability that a next turn comes, 0 to 1
	CachedTokens        int64         // tokens that would have to be prefilled again
	SharedTokens        int64         // those of CachedTokens that other programs keep cached anyway
	PrefillTokensPerSec float64
	MemoryPressure      float64 // fraction of the engine's cache memory in use, 0 to 1
	Worth               float64 // of the program's class; usually 1
	CanOffload          bool    // the engine can export and import cache
	HoldCost            float64 // cost of one second of memory at full pressure, for cache that takes one second to rebuild
	LowPressure         float64 // 0 = DefaultLowPressure
}

// Retention is a decision about one pause. Costs are in seconds of delay,
// weighted by worth; lower is better.
type Retention struct {
	Action      RetentionAction
	KeepCost    float64
	OffloadCost float64
	DropCost    float64
	Reason      string
}

// DecideRetention chooses the cheapest of the three actions. Keeping costs memory for
// the duration of the pause, weighted by how scarce memory is; offloading costs the transfer
// both ways; dropping costs the rebuild, if the program resumes. Tokens shared with
// other programs stay cached anyway, so dropping them costs nothing. It is
// pure and safe for concurrent use.
func DecideRetention(pause Pause) Retention {
	rate := pause.PrefillTokensPerSec
	if rate <= 0 {
		rate = defaultPrefillTokensPerSec
	}
	rebuild := float64(max(0, pause.CachedTokens-pause.SharedTokens)) / rate
	worth := max(0, pause.Worth)
	chance := min(1, max(0, pause.ReturnChance))
	lowPressure := valueOr(pause.LowPressure, DefaultLowPressure)
	scarcity := min(1, max(0, (pause.MemoryPressure-lowPressure)/(1-lowPressure)))

	decision := Retention{
		KeepCost:    pause.HoldCost * rebuild * max(0, pause.Expected.Seconds()) * scarcity,
		OffloadCost: DefaultOffloadShare * rebuild * (1 + chance*worth),
		DropCost:    rebuild * chance * worth,
	}
	mayOffload := pause.CanOffload && rebuild >= DefaultMinOffload.Seconds()
	decision.Action = cheapestRetention(&decision, mayOffload)
	decision.Reason = retentionReason(&decision, pause, rebuild, mayOffload)
	return decision
}

// cheapestRetention returns the cheapest action. Among equal costs it prefers keeping, then dropping.
func cheapestRetention(costs *Retention, mayOffload bool) RetentionAction {
	action, lowest := Keep, costs.KeepCost
	if costs.DropCost < lowest {
		action, lowest = Drop, costs.DropCost
	}
	if mayOffload && costs.OffloadCost < lowest {
		action = Offload
	}
	return action
}

// retentionReason returns the text that explains the action.
func retentionReason(d *Retention, pause Pause, rebuild float64, mayOffload bool) string {
	offload := "not possible or not worth an export"
	if mayOffload {
		offload = fmt.Sprintf("costs %.2f", d.OffloadCost)
	}
	return fmt.Sprintf("%s: pause of %s expected, %.2f s to rebuild, memory %.0f%% used; "+
		"keeping costs %.2f, offloading %s, dropping %.2f",
		d.Action, pause.Expected.Round(time.Millisecond), rebuild, pause.MemoryPressure*100,
		d.KeepCost, offload, d.DropCost)
}
