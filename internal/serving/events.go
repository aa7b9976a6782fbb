package serving

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/eventlog"
	"github.com/pewtermill/pewtermill/internal/ingress"
	"github.com/pewtermill/pewtermill/internal/quota"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// ViewChanged implements discovery.Observer.
//
// The two collections change concurrently, so the view passed here may be older than one passed before. The follower's
// newest view is the one that is propagated, one at a time.
func (p *Process) ViewChanged(collection discovery.Collection, _ *discovery.View) {
	p.viewMutex.Lock()
	defer p.viewMutex.Unlock()
	view := p.follower.View()
	var services map[string]routing.Service
	version := int64(0)
	if view.Table != nil {
		services = view.Table.Configuration.Services
		version = view.Table.Configuration.Version
		p.leases.SetEnabled(view.Table.Configuration.HasRateLimits())
	}
	// Before anything is placed on a new engine: the pool would not retain connections to it yet.
	p.pool.RetainOnly(func(to upstream.Destination) bool { return view.Engines[to.Incarnation].Address == to.Address })
	p.placer.SetEvacuations(evacuatedZones(view))
	p.placer.SetMasked(view.Masked)
	p.placer.SetEngines(view.Engines, services)
	p.changedAt[collection].Store(time.Now().UnixNano())
	p.logger.Info("view changed", "collection", collection.String(), "row_version", view.Versions[collection],
		"configuration", version, "engines", len(view.Engines), "engines_ready", readyEngines(view))
	p.carryClient.KeepOnly(func(id string) bool { _, present := view.Engines[id]; return present })
	if collection == discovery.Configurations {
		p.callers.ApplyLimits()
		if view.Table != nil {
			p.extendRetentions(view.Table.Configuration.Routes)
		}
	}
	p.replicateOrigins(view)
	p.versionRecord.Wake()
	p.logEvacuations(view)
	p.logRegionProblems(view)
	p.enableRelay()
}

// LoadsComplete reports whether the placer has load reports of the other nodes, or there are no other nodes.
func (p *Process) LoadsComplete() bool { return p.placer.LoadsComplete() }

// readyEngines returns how many engines take new work.
func readyEngines(view *discovery.View) int {
	ready := 0
	for _, engine := range view.Engines {
		if !engine.Draining {
			ready++
		}
	}
	return ready
}

// SourceLost implements discovery.Observer.
func (p *Process) SourceLost(collection discovery.Collection, cause error) {
	p.metrics.sourceLost.WithLabelValues(collection.String()).Inc()
	if collection == discovery.Engines {
		p.placer.SourceLost()
	}
	p.logger.Warn("store lost", "collection", collection.String(), "error", cause.Error())
}

// SourceRegained implements discovery.Observer.
func (p *Process) SourceRegained(collection discovery.Collection, silence time.Duration) {
	if collection == discovery.Engines {
		p.placer.SourceRegained()
	}
	p.logger.Info("store regained", "collection", collection.String(), "silence", silence.String())
}

// RequestEnded implements ingress.Observer. It logs one record for each request.
func (p *Process) RequestEnded(report ingress.Report) {
	p.metrics.recordRequest(report)
	level := eventlog.LevelRoutine
	if report.Code != api.OK || report.Status >= http.StatusInternalServerError {
		level = slog.LevelWarn
	}
	if !p.logger.Enabled(context.Background(), level) {
		return
	}
	attributes := reportAttributes(report)
	if report.Code == api.Unauthenticated || report.Code == api.PathNotFound || report.Code == api.CallNotFound || report.Code == api.TenantLimit {
		age := time.Since(time.Unix(0, p.changedAt[discovery.Configurations].Load()))
		attributes = append(attributes, slog.Float64("configuration_age_ms", millis(age)))
	}
	p.logger.LogAttrs(context.Background(), level, "request ended", attributes...)
}

// quotaAttributes returns the log attributes of a request's count against its tenant's limit, if the request was rejected
// or was counted without the holder of the limit.
func quotaAttributes(report ingress.QuotaReport) []slog.Attr {
	decision := report.Decision
	if decision.Outcome == quota.Undecided || (decision.Outcome == quota.Granted && decision.Basis == quota.ByHolder) {
		return nil
	}
	return []slog.Attr{slog.Group("limit",
		slog.String("verdict", decision.Outcome.String()),
		slog.String("ground", string(decision.Basis)),
		slog.Float64("rate", report.Limit.Rate),
		slog.Float64("burst", report.Limit.Burst),
		slog.Int("left", decision.Remaining),
		slog.Uint64("term", decision.Term),
		slog.Float64("heard_ms", millis(decision.AnswerAge)),
	)}
}

// admissionAttributes returns the log attributes of the admission of a program at its first turn, if it was rejected, or
// admitted while others were rejected.
func admissionAttributes(report ingress.Report) []slog.Attr {
	decision := report.Admission
	if !decision.Decided || decision.Share >= 1 {
		return nil
	}
	return []slog.Attr{slog.Group("admission",
		slog.Bool("admitted", decision.Admitted),
		slog.Int("rank", decision.Rank),
		slog.Bool("returned", decision.Retried),
		slog.Float64("level", decision.Level),
		slog.Float64("share", decision.Share),
		slog.Int("places", decision.Counts.Slots),
		slog.Int("taken", decision.Counts.InFlight),
		slog.Int("waiting", decision.Counts.Waiting),
		slog.Int("coming", decision.Counts.Pending),
		slog.Float64("counts_age_ms", millis(decision.Counts.Age)),
	)}
}

// optionalAttributes are log attributes. Empty values are omitted, as most of them are empty for most requests.
type optionalAttributes []slog.Attr

func (a *optionalAttributes) text(name, value string) {
	if value != "" {
		*a = append(*a, slog.String(name, value))
	}
}

func (a *optionalAttributes) number(name string, value int64) {
	if value > 0 {
		*a = append(*a, slog.Int64(name, value))
	}
}

func (a *optionalAttributes) millis(name string, value time.Duration) {
	if value > 0 {
		*a = append(*a, slog.Float64(name, millis(value)))
	}
}

// reportAttributes returns the log attributes of a request.
func reportAttributes(report ingress.Report) []slog.Attr {
	attributes := optionalAttributes{
		slog.String("request", report.Call.ID),
		slog.String("program", report.Call.Program),
		slog.String("route", report.Route),
		slog.String("service", report.Service),
		slog.Int("status", report.Status),
		slog.Int("code", int(report.Code)),
		slog.Int64("configuration", report.ConfigurationVersion),
		slog.Uint64("engines_version", report.EnginesVersion),
		slog.Float64("took_ms", millis(report.Took)),
	}
	attributes.text("tenant", report.Tenant)
	attributes.text("reason", report.Detail)
	attributes.millis("retry_after_ms", report.RetryAfter)
	attributes.millis("first_ms", report.Timings.FirstByte)
	attributes.millis("limit_ms", report.Timings.Quota)
	attributes.millis("ledger_ms", report.Timings.Ledger)
	attributes.millis("settle_ms", report.Timings.Settlement)
	attributes.millis("ahead_ms", report.Timings.Optimistic)
	attributes.number("events", int64(report.Events))
	attributes.text("last_event", report.Call.LastEvent)
	attributes.text("resumes", report.Call.ResumesID)
	attributes.number("budget", report.Call.Budget)
	attributes.number("finish_in_ms", report.Call.FinishIn.Milliseconds())
	attributes.text("allowance_at", report.Owner)
	if report.ClientDisconnected {
		attributes = append(attributes, slog.Bool("caller_left", true))
	}
	attributes = append(attributes, quotaAttributes(report.Quota)...)
	attributes = append(attributes, admissionAttributes(report)...)
	attributes = append(attributes, originAttributes(report.Origin)...)
	return append(attributes, attemptAttributes(report.Attempts)...)
}

// attemptAttributes returns the log attributes of the attempts at a request, by engine.
func attemptAttributes(attempts []ingress.Attempt) []slog.Attr {
	attributes := make([]any, 0, len(attempts))
	for _, attempt := range attempts {
		fields := []any{
			slog.String("outcome", attempt.Outcome.String()),
			slog.Float64("at_ms", millis(attempt.At)),
			slog.Float64("took_ms", millis(attempt.Took)),
			slog.String("why", attempt.Reason),
		}
		if attempt.Version != "" {
			fields = append(fields, slog.String("version", attempt.Version))
		}
		if attempt.Via.Reason != "" {
			fields = append(fields, slog.String("way", string(attempt.Via.Reason)))
		}
		if attempt.Via.Peer != "" {
			fields = append(fields, slog.String("through", attempt.Via.Peer))
		}
		if attempt.Detail != "" {
			fields = append(fields, slog.String("detail", attempt.Detail))
		}
		attributes = append(attributes, slog.Group(attempt.Engine, fields...))
	}
	if len(attributes) == 0 {
		return nil
	}
	return []slog.Attr{slog.Group("engines", attributes...)}
}

// millis returns a duration in milliseconds, to a tenth.
func millis(duration time.Duration) float64 {
	return float64(duration.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
