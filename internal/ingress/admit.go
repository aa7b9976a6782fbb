package ingress

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/quota"
)

// minLimitRetryAfter is the shortest Retry-After for a request over its tenant's limit. The quota
// issues tokens to a node a few at a time.
const minLimitRetryAfter = 50 * time.Millisecond

// limited reports whether the request counts against a rate limit of its tenant.
func (r *request) limited() bool { return r.tenant != nil && r.tenant.RequestsPerSecond > 0 }

// admit counts the request against its tenant's rate limit; beginsProgram reports whether it is the
// first request of a program. A problem means that the request exceeds the limit; it has not run.
func (r *request) admit(ctx context.Context, beginsProgram bool) *api.Error {
	if !r.limited() {
		return nil
	}
	start := time.Now()
	limit := quota.Limit{
		Rate:    r.tenant.RequestsPerSecond,
		Burst:   r.tenant.Burst,
		Version: r.report.ConfigurationVersion,
	}
	decision := r.handler.options.Quota.Admit(ctx, r.tenant.Name, limit, beginsProgram)
	r.report.Timings.Quota = time.Since(start)
	r.report.Quota = QuotaReport{Limit: limit, Decision: decision}
	if decision.Outcome == quota.Granted {
		r.granted = decision
		return nil
	}
	problem := api.Errorf(api.TenantLimit, "tenant %s is at its limit of %v requests a second and a burst of %v",
		r.tenant.Name, limit.Rate, limit.Burst)
	return problem.WithRetryAfter(backoff.Jitter(max(minLimitRetryAfter, decision.RetryAfter)))
}

// returnToken returns the token of the rate limit if no engine can have run the request.
func (r *request) returnToken() {
	if r.granted.Outcome == quota.Granted && !r.reachedEngine() {
		r.handler.options.Quota.ReturnToken(r.tenant.Name, r.granted)
	}
}

// reachedEngine reports whether any engine may have run the request.
func (r *request) reachedEngine() bool {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	for _, entry := range r.report.Attempts {
		switch entry.Outcome {
		case placement.Unreachable, placement.Replaced, placement.Shed:
		default:
			return true
		}
	}
	return false
}
