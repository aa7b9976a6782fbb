package dispatch

import (
	"context"
	"time"
)

// Limits of reconciling the programs that engines hold. A program that was found open is not checked
// again for holdRecheck, so that the table is read about once per held program and period.
const (
	holdTimeout = 5 * time.Second
	holdRecheck = time.Minute
)

// holdCheck stores when each held program was last found open. Not safe for concurrent use.
type holdCheck struct{ liveAt map[string]time.Time }

// checkDue reports whether the program must be checked.
func (h *holdCheck) checkDue(program string, now time.Time) bool {
	liveAt, checked := h.liveAt[program]
	return !checked || now.Sub(liveAt) >= holdRecheck
}

func (h *holdCheck) prune(now time.Time) {
	for program, liveAt := range h.liveAt {
		if now.Sub(liveAt) >= 2*holdRecheck {
			delete(h.liveAt, program)
		}
	}
}

// LiveFunc reports whether a program is open. If it returns an error, nothing is released.
type LiveFunc func(ctx context.Context, program string) (bool, error)

// ReleaseOrphans releases what engines hold for programs that are not open, since a failed owner could
// not release it. It checks the engines for which observes returns true, and must not be called
// concurrently with itself.
func (f *Fleet) ReleaseOrphans(ctx context.Context, observes func(engine string) bool, live LiveFunc) {
	now := time.Now()
	f.holds.prune(now)
	for name, member := range *f.members.Load() {
		if observes(name) {
			f.releaseOrphansAt(ctx, name, member, now, live)
		}
	}
}

func (f *Fleet) releaseOrphansAt(ctx context.Context, name string, member *engineMember, now time.Time, live LiveFunc) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	programs, err := member.client.HeldPrograms(ctx)
	if err != nil {
		return
	}
	for _, program := range programs {
		if !f.holds.checkDue(program, now) {
			continue
		}
		open, err := live(ctx, program)
		if err != nil {
			continue
		}
		if open {
			f.holds.liveAt[program] = now
			continue
		}
		if err := member.client.Release(ctx, program); err != nil {
			f.options.Logger.Warn("engine memory of an ended program is not released", "engine", name, "program", program, "error", err.Error())
			continue
		}
		f.options.Logger.Info("released engine memory of an ended program", "engine", name, "program", program)
	}
}
