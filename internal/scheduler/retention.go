package scheduler

import (
	"fmt"
	"time"
)

// RetentionAction is what to do with a program's cache while it pauses.
type RetentionAction string

// Retention actions.
const (
	Keep    RetentionAction = "keep"    // leave it in the engine's memory
	Offload RetentionAction = "offload" // export it, import it before the next turn
	Drop    RetentionAction = "drop"    // free it, prefill again if the program returns
)

// Defaults of Retention.
const (
	// DefaultOffloadShare is the time to export and import cache, as a share
	// of the time to rebuild it.
	DefaultOffloadShare = 0.2
	// DefaultMinOffload is the least rebuild time worth an export.
	DefaultMinOffload = 500 * time.Millisecond
	// DefaultLowPressure is the share of memory in use below which nothing
	// is gained by freeing cache.
	DefaultLowPressure = 0.7
)

// Pause is a program's pause between two model calls.
type Pause struct {
	Expected            time.Duration // until the next turn
	ReturnChance        float64       // that a next turn comes, 0 to 1
	CachedTokens        int64         // that would have to be prefilled again
	SharedTokens        int64         // part of CachedTokens that other programs keep anyway
	PrefillTokensPerSec float64
	MemoryPressure      float64 // share of the engine's cache memory in use, 0 to 1
	Worth               float64 // of the program's class; 1 is usual
	CanOffload          bool    // the engine exports and imports cache
	HoldCost            float64 // of one second of memory at full pressure, for what takes one second to rebuild
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

// DecideRetention weighs the three actions. Keeping costs memory for the
// pause, by how scarce it is; offloading costs the transfer both ways;
// dropping costs the rebuild, if the program returns. Tokens shared with
// other programs stay cached anyway, so they cost nothing to drop. It is
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

// cheapestRetention prefers keeping, then dropping, among equal costs.
func cheapestRetention(costs *Retention, mayOffload bool) RetentionAction {
	action, least := Keep, costs.KeepCost
	if costs.DropCost < least {
		action, least = Drop, costs.DropCost
	}
	if mayOffload && costs.OffloadCost < least {
		action = Offload
	}
	return action
}

// retentionReason says in words why an action was taken.
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
