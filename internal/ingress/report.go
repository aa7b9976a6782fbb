package ingress

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/admission"
	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/quota"
)

// Report describes one completed request, for logs and metrics.
type Report struct {
	Call                 Call
	Tenant               string // of the caller's key; empty if none was needed
	Route                string
	Kind                 string
	Service              string
	ConfigurationVersion int64
	EnginesVersion       uint64
	Status               int
	Code                 api.Code // OK unless the system itself produced the answer or truncated it
	Detail               string
	Truncated            bool
	ClientDisconnected   bool
	RetryAfter           time.Duration
	Attempts             []Attempt
	Events               int
	Took                 time.Duration
	Timings              Timings
	Owner                string // node whose allowance the turn is reserved from; empty for this one
	Quota                QuotaReport
	Admission            admission.Decision // undecided except for a program's first turn
	Origin               OriginReport
}

// OriginReport describes the software version that a stream is bound to.
type OriginReport struct {
	Finding   origins.Finding // its Basis is empty unless the client resumes a stream
	Version   string          // at which the stream continued, within one answer or by Finding; empty if it never had to
	Confirmed int             // peers that confirmed to have stored where the request started a stream
}

// QuotaReport is the decision on the request under its tenant's rate limit.
type QuotaReport struct {
	Limit    quota.Limit
	Decision quota.Decision // Undecided if the tenant has no limit, or the quota was not queried
}

// Timings are the durations of the steps of a request.
type Timings struct {
	Quota      time.Duration // wait for a token of the tenant's limit
	Ledger     time.Duration // wait for the reservation
	FirstByte  time.Duration // from arrival to the first byte of the answer; 0 if none
	Settlement time.Duration // wait for the turn's record, before its last byte
	Optimistic time.Duration // time for which the turn ran before its reservation was confirmed; 0 if it did not
}

// Attempt is one send to an engine.
type Attempt struct {
	Engine  string
	Version string // of the engine's software
	Outcome placement.Outcome
	Detail  string // of an outcome other than served
	Reason  string // why this engine
	Via     carry.Decision
	At      time.Duration // since the request's arrival
	Took    time.Duration
}

// end reports the request, and aborts the connection if the answer was truncated. It is deferred, and
// turns a panic of the handler into an answer if none has started.
func (r *request) end() {
	if panicValue := recover(); panicValue != nil {
		r.panicked(panicValue)
	}
	r.report.Call = r.call
	r.report.Service = r.service
	r.report.EnginesVersion = r.view.Versions[discovery.Engines]
	r.report.Took = time.Since(r.arrived)
	r.report.ClientDisconnected = r.http.Context().Err() != nil
	if r.route != nil {
		r.report.Route = r.route.Name
		r.report.Kind = string(r.route.Kind)
	}
	r.handler.options.Observer.RequestEnded(r.report)
	if r.report.Truncated {
		panic(http.ErrAbortHandler)
	}
}

// maxPanicDetail limits the text of a panic and its stack in a log record.
const maxPanicDetail = 1200 // bytes

// panicked answers a request whose handler panicked. An engine may have run it.
func (r *request) panicked(panicValue any) {
	detail := fmt.Sprintf("panic: %v\n%s", panicValue, debug.Stack())
	problem := api.Errorf(api.Internal, "the request's handler failed")
	problem.Execution = api.Unknown
	if r.headWritten {
		r.abortAnswer(problem.Detail)
	} else {
		r.refuse(problem)
	}
	r.report.Code = api.Internal
	r.report.Detail = detail[:min(len(detail), maxPanicDetail)]
}

// firstByte records when the answer started.
func (r *request) firstByte() {
	if r.report.Timings.FirstByte == 0 {
		r.report.Timings.FirstByte = time.Since(r.arrived)
	}
}
