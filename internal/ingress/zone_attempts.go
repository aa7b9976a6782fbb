package ingress

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// zoneAttempts holds the attempts in progress by the zone of their engine. The zero value is empty. Safe for concurrent use.
type zoneAttempts struct {
	mutex  sync.Mutex
	byZone map[string]map[*attempt]struct{}
}

func (z *zoneAttempts) add(t *attempt) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	zone := t.placed.Engine.Zone
	if z.byZone == nil {
		z.byZone = make(map[string]map[*attempt]struct{})
	}
	if z.byZone[zone] == nil {
		z.byZone[zone] = make(map[*attempt]struct{})
	}
	z.byZone[zone][t] = struct{}{}
}

func (z *zoneAttempts) remove(t *attempt) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	zone := t.placed.Engine.Zone
	delete(z.byZone[zone], t)
	if len(z.byZone[zone]) == 0 {
		delete(z.byZone, zone)
	}
}

// of returns the attempts at engines of a zone.
func (z *zoneAttempts) of(zone string) []*attempt {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return slices.Collect(maps.Keys(z.byZone[zone]))
}

// ZoneSuspected makes requests that may run elsewhere leave the engines of a zone that is suspected from now on, unless they have
// sent something within zoneCheckAfter. The watchdog of an attempt checks its zone at intervals only, between which the first
// response of the zone may end the suspicion again. It does not block.
func (h *Handler) ZoneSuspected(zone string) {
	for _, t := range h.zoneAttempts.of(zone) {
		t.leaveSuspectedZone()
	}
}

// leaveSuspectedZone cancels the send if the request may run elsewhere, and the engine has sent nothing for
// zoneCheckAfter.
func (t *attempt) leaveSuspectedZone() {
	activity := t.activity.Load()
	if t.mayRunElsewhere() && t.silentFor() >= zoneCheckAfter {
		t.abandon(activity, errZoneSuspected)
	}
}

// silentFor returns how long the engine has sent nothing.
func (t *attempt) silentFor() time.Duration {
	return time.Since(t.startedAt) - time.Duration(t.activityAfter.Load())
}
