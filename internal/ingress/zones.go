package ingress

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// noZoneRetryAfter is the Retry-After, before jitter, of a request that no engine may serve.
// Evacuations and region restrictions of an operator last for seconds at least, and each retry costs
// both sides.
const noZoneRetryAfter = time.Second

// checkPlaceable rejects a request at once, before anything is written or waited for, if no engine of
// its service may serve it: either the regions that its route and tenant allow have no engine, or all
// engines there are in zones that an operator has evacuated.
func (r *request) checkPlaceable() *api.Error {
	r.regions = r.allowedRegions()
	view := r.handler.options.View()
	if r.regions == nil && !view.AnyEvacuated() {
		return nil
	}
	all, allowed := 0, 0
	for _, engine := range view.Engines {
		if engine.Service != r.service || engine.Draining {
			continue
		}
		all++
		switch {
		case !r.mayRunAt(engine):
		case view.Evacuated(engine.Zone):
			allowed++
		default:
			return nil
		}
	}
	switch {
	case allowed > 0:
		return api.Errorf(api.ZonesEvacuated, "all %d engines of service %s%s are in evacuated zones", allowed, r.service, r.restrictionText()).
			WithRetryAfter(backoff.Jitter(noZoneRetryAfter))
	case r.regions != nil && (all > 0 || len(r.regions) == 0):
		return api.Errorf(api.NoEngineInRegions, "none of %d engines of service %s may serve the request%s", all, r.service, r.restrictionText()).
			WithRetryAfter(backoff.Jitter(noZoneRetryAfter))
	}
	return nil // the service has no engine at all, which neither restriction has caused
}

// allowedRegions returns the regions that the request may be served in; nil for all, and empty but not
// nil for none.
func (r *request) allowedRegions() []string {
	regions, restricted := r.view.Table.Configuration.AllowedRegions(r.route, r.tenantName())
	if restricted && regions == nil {
		return []string{}
	}
	return regions
}

// mayRunAt reports whether an engine is in a region that the request may be served in.
func (r *request) mayRunAt(engine routing.Engine) bool {
	return r.regions == nil || slices.Contains(r.regions, r.handler.options.RegionOf(engine.Zone))
}

// restrictionText describes for a rejection what restricts the request; empty if nothing does.
func (r *request) restrictionText() string {
	var restrictions []string
	if regions := r.route.Regions; len(regions) > 0 {
		restrictions = append(restrictions, fmt.Sprintf("route %s allows regions %s", r.route.Name, strings.Join(regions, ", ")))
	}
	if regions := r.view.Table.Configuration.TenantRegions[r.tenantName()]; len(regions) > 0 {
		restrictions = append(restrictions, fmt.Sprintf("tenant %s allows regions %s", r.tenantName(), strings.Join(regions, ", ")))
	}
	if len(restrictions) == 0 {
		return ""
	}
	return " (" + strings.Join(restrictions, "; ") + ")"
}

// isolation reports whether this node's zone is isolated, and after what time clients may retry.
func (h *Handler) isolation() (time.Duration, bool) {
	if h.options.Isolated == nil {
		return 0, false
	}
	return h.options.Isolated()
}

// rejectIfIsolated rejects a turn at once while this node's zone is isolated: the turn could be neither
// reserved nor recorded, and an optimistic run would hold it until its client disconnects. Another zone
// serves the retry.
func (r *request) rejectIfIsolated() *api.Error {
	retryAfter, isolated := r.handler.isolation()
	if !isolated {
		return nil
	}
	problem := api.Errorf(api.StoreDown, "this node's zone is cut off from the others and from the table")
	problem.Execution = api.NotRun
	return problem.WithRetryAfter(backoff.Jitter(retryAfter))
}

// zoneLost reports whether nothing in the attempt's zone responds, and its client gains by a failure: a
// repeatable request continues elsewhere, and a program sends its turn again. Other requests keep
// waiting, as their clients may not send them again.
func (t *attempt) zoneLost() bool {
	lost, route := t.request.handler.options.ZoneLost, t.request.route
	clientCanRetry := route.Repeatable() || route.Kind == routing.Stream
	return lost != nil && clientCanRetry && lost(t.placed.Engine.Zone)
}

// mayRunElsewhere reports whether the request may still run on another engine after this one. It leaves an engine of a zone that this
// node considers lost at once, and the run there counts: the engine may be at work.
func (t *attempt) mayRunElsewhere() bool {
	route := t.request.route
	return route.Repeatable() && route.MaxAttempts > 1 && !t.isLastRun() && !t.begun.Load()
}

// mayAbandon reports whether an attempt of a request that may run on no other engine may be abandoned at an engine of a zone
// that this node considers lost. That may be wrong: a request that its client may not repeat is abandoned only at an engine that
// accepts no connections. An engine that does ends the suspicion. Another one is abandoned only if that engine is
// unresponsive: before a node detects that it is itself isolated, it considers other zones lost.
func (t *attempt) mayAbandon() bool {
	activity := t.activity.Load()
	if t.request.route.Repeatable() {
		return t.request.foundUnresponsive(t.ctx, t.placed.Engine) && t.activity.Load() == activity
	}
	return !t.evacuated() && t.request.handler.prober.connectTimesOut(t.ctx, t.placed.Engine) && t.activity.Load() == activity
}

// evacuated reports whether nothing more may be sent to the attempt's engine, not even a connection
// probe.
func (t *attempt) evacuated() bool {
	return t.request.handler.options.View().Evacuated(t.placed.Engine.Zone)
}
