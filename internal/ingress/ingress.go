// Package ingress serves clients whose requests are forwarded as they are: it finds the route, has the
// ledger admit turns of programs and the placer choose an engine, sends the request, and forwards the
// answer. It knows no header by name; Protocol translates.
package ingress

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/admission"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/quota"
	"github.com/pewtermill/pewtermill/internal/requestmemory"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// Call is what a request's headers state about it.
type Call struct {
	ID           string        // unique to this attempt of the client
	Deadline     time.Duration // how long the client waits; 0 if not stated
	Program      string        // empty if the request belongs to no program
	Session      string        // names the conversation within the program
	FinishIn     time.Duration // until the program should be finished; 0 if unknown
	Budget       int64         // of the program, in tokens; 0 if it has none
	PromptTokens int64
	MaxTokens    int64 // limit of the answer
	PreviousTurn string
	LastEvent    string // event after which a stream is to continue
	ResumesID    string // ID of the client's attempt that received that stream's first event; empty if not stated
	KeyDigest    string // of the caller's key, as in bundle.Tenant; empty if it has none
	PromptParts  []placement.PromptPart
}

// Hop is what the system adds to a request for an engine. It does not include the route's priority:
// engines preempt running requests for more urgent ones and recompute their prompts afterwards, which
// costs a fully loaded service more than the order gains.
type Hop struct {
	Engine    string        // name of the engine that the request is for
	Remaining time.Duration // how long the answer is of use
	LastEvent string        // event after which to continue; empty for the one that the client named
	FromStart bool          // remove the event that the client named: the engine makes the whole stream
	StripKey  bool          // remove the caller's key, which engines must not see
	Tenant    string        // of the request; empty if it has none
}

// Protocol translates between the headers of clients and engines and this package's types. Safe for
// concurrent use.
type Protocol interface {
	// ReadCall parses a request's headers. With an error, the call holds what could be parsed.
	ReadCall(header http.Header) (Call, *api.Error)
	// SetForwardHeaders sets the headers that the system adds or replaces.
	SetForwardHeaders(header http.Header, hop Hop)
	// IsAnswerTo reports whether an engine's answer belongs to this call.
	IsAnswerTo(header http.Header, call Call) bool
	// IsEngineAnswer reports whether an answer can be a complete one of an engine.
	IsEngineAnswer(status int, header http.Header) bool
	// NotExecuted reports whether the engine states that it did not run the call.
	NotExecuted(status int, header http.Header) bool
	// Misdirected reports whether the address belongs to another engine.
	Misdirected(status int) bool
	// ReportedIncarnation returns the incarnation that an engine reports in its response to a health
	// check. The name is empty and the start time 0 where the response does not state them.
	ReportedIncarnation(header http.Header, body []byte) routing.Incarnation
	// SetOwnHeaders sets the headers of an answer that the system itself produced.
	SetOwnHeaders(header http.Header, call Call)
}

// Placer assigns requests to engines. *placement.Placer implements it.
type Placer interface {
	Place(ctx context.Context, request placement.Request) (placement.Placement, *api.Error)
	Answered(placed *placement.Placement)
	Done(placed placement.Placement, result placement.Result)
	// Counts returns the load of the engines of a service, as reported by all nodes.
	Counts(service string) admission.Counts
	// RecordRejection records that a program was rejected, for all nodes; RecentlyRejected reports it.
	RecordRejection(program string)
	RecentlyRejected(program string) bool
	// AddPendingProgram counts a program that is about to request an engine, until done is called.
	AddPendingProgram(service string) (done func())
}

// Quota enforces the rate limits of tenants. *quota.Client implements it.
type Quota interface {
	// Admit decides on one request; beginsProgram reports whether it is the first one of a program.
	// The token of a granted request that reaches no engine must be returned.
	Admit(ctx context.Context, tenant string, limit quota.Limit, beginsProgram bool) quota.Decision
	ReturnToken(tenant string, granted quota.Decision)
}

// Observer is notified of each request's end, and of engines that end. It must not block.
type Observer interface {
	RequestEnded(report Report)
	// EngineEnded is called for each engine that ended under a request and counts against it.
	EngineEnded(end EngineEnd)
}

// Options configure a Handler.
type Options struct {
	Protocol Protocol
	View     func() *discovery.View
	Placer   Placer
	Pool     *upstream.Pool
	Carrier  Carrier // nil if no peer carries requests
	Ledger   *ledger.Ledger
	Lines    *conversations.Cache
	Quota    Quota
	// Memory bounds what the bodies of all requests hold; nil for requestmemory.DefaultLimit.
	Memory *requestmemory.Memory
	// Origins stores which software version started a stream.
	Origins Origins
	// VersionRecord states which software versions may have started streams, after all nodes have ended. *versionrecord.Keeper
	// implements it.
	VersionRecord VersionRecord
	// EndedEngines records which engines ended under which requests, and EndReporter reports it to other nodes.
	EndedEngines *poison.Memory
	EndReporter  EndReporter
	// IncarnationOf requests from the address of an engine which incarnation is running there.
	IncarnationOf func(ctx context.Context, engine routing.Engine) (routing.Incarnation, error)
	// HasUnreadIncarnation reports whether the store has another incarnation of an engine that the view does not have yet.
	HasUnreadIncarnation func(ctx context.Context, engine routing.Engine) (bool, error)
	// KeysCurrent reports whether the configuration was confirmed recently enough for its keys to be
	// trusted.
	KeysCurrent func() bool
	RegionOf    func(zone string) string // empty if unknown
	Zone        string                   // of this node
	// ZoneLost reports whether nothing in a zone responds; nil if zones are never lost. When one begins to be lost,
	// Handler.ZoneSuspected has to be called.
	ZoneLost func(zone string) bool
	// Isolated reports whether this node's zone is partitioned from the others and from the store, and
	// after what time a retry reaches another zone; nil if it cannot be.
	Isolated func() (retryAfter time.Duration, isolated bool)
	Observer Observer
}

// Handler serves clients. Safe for concurrent use.
type Handler struct {
	options       Options
	splitter      *routing.Splitter
	conversations *conversations.Cache
	hedges        *hedges
	prober        *prober
	zoneAttempts  zoneAttempts
	bufferedBytes atomic.Int64 // bytes of answers that wait for confirmation
	drain         drain
	durations     durations
}

// New returns a handler.
func New(options Options) *Handler {
	if options.Memory == nil {
		options.Memory = requestmemory.NewMemory(requestmemory.DefaultLimit)
	}
	return &Handler{options: options, splitter: routing.NewSplitter(), conversations: options.Lines, hedges: newHedges(), prober: newProber(options.Pool, options.View, options.Zone)}
}

// Defaults of requests.
const (
	defaultBodyBytes = 4 << 20
	defaultTimeLimit = 10 * time.Second // of a request without deadline on a route without timeout
)

// request is one request in progress.
type request struct {
	handler        *Handler
	writer         http.ResponseWriter
	http           *http.Request
	call           Call
	view           *discovery.View
	route          *routing.Route
	tenant         *bundle.Tenant      // of the caller's key; nil if there is none
	service        string              // backend of the route that serves it
	regions        []string            // regions in which it may be served; nil for all, empty for none
	input          []byte              // the body as the client sent it
	body           []byte              // as it is sent to the engine
	bodyRead       bool                // the client's body has been read to its end
	held           *requestmemory.Body // memory of the body and what is added to it; nil before it is read
	arrived        time.Time
	deadline       time.Time      // of the client or the route, whichever is earlier
	headWritten    bool           // the answer's head has been written
	answerBegun    atomic.Bool    // as headWritten, for other goroutines
	granted        quota.Decision // by which it counts against its tenant's limit; Undecided if it does not
	origin         streamOrigin   // of the stream that the request starts or resumes
	recordDeadline time.Time      // until when the stream waits for its version to be in the record; zero before it first does
	endPending     func()         // ends the pending count of the program that it starts; nil if there is none
	report         Report

	keyOnce       sync.Once
	key           poison.Key   // see poisonKey
	sendsUnderWay atomic.Int32 // to engines
	failed        atomic.Bool  // its client gets no complete answer, and may try again
	unconfirmed   atomic.Bool  // see errUnconfirmed
	lostWithZone  atomic.Bool  // an engine counts as ended under it that was lost with its zone

	sendsMutex sync.Mutex
	sends      []*attempt // in progress, until recordEnd is called

	reportMutex sync.Mutex        // guards report.Attempts while two sends are in flight, endReports and withdrawals
	endReports  []<-chan struct{} // closed once it is known, here and at peers, whether an engine ended
	withdrawals []<-chan struct{} // see reportWithdrawn; closed once peers know it, or need not be waited for any more
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	r := &request{handler: h, writer: writer, http: incoming, view: h.options.View(), arrived: time.Now()}
	if _, isolated := h.isolation(); isolated {
		writer.Header().Set("Connection", "close")
	}
	defer r.end()
	defer r.releaseMemory()
	problem := r.serve()
	if problem != nil || r.report.Truncated {
		r.awaitEndReports()
	}
	if problem == nil {
		r.awaitWithdrawals(maxReportWait)
		return
	}
	r.awaitWithdrawals(maxWithdrawalWait)
	r.refuse(problem)
}

// serve handles the request. It returns a problem only if no answer has started.
func (r *request) serve() *api.Error {
	call, problem := r.handler.options.Protocol.ReadCall(r.http.Header)
	r.call = call
	if r.view.Table == nil {
		return api.Errorf(api.NotReady, "no configuration has been read yet").WithRetryAfter(notReadyRetryAfter)
	}
	r.report.ConfigurationVersion = r.view.Table.Configuration.Version
	if refusal := r.checkHead(); refusal != nil {
		return refusal
	}
	r.route = r.view.Table.Match(r.http.Host, pathOf(r.target()))
	if r.route == nil {
		return api.Errorf(api.PathNotFound, "configuration %d has no route for this host and path", r.report.ConfigurationVersion)
	}
	if refusal := r.authenticate(); refusal != nil {
		return refusal
	}
	if problem != nil {
		return problem
	}
	r.deadline = r.arrived.Add(r.timeLimit())
	ctx, cancel := context.WithDeadline(r.http.Context(), r.deadline)
	defer cancel()
	ctx, remove := r.handler.drain.add(ctx, r)
	defer remove()
	if problem := r.readBody(ctx); problem != nil {
		return problem
	}
	if problem := r.checkDrain(time.Now()); problem != nil {
		return problem
	}
	defer r.recordDuration()
	defer r.returnToken()
	defer r.finishPending()
	r.service = r.handler.splitter.Next(r.route)
	if problem := r.checkPlaceable(); problem != nil {
		return problem
	}
	if problem := r.checkEndedEngines(ctx, false, 0); problem != nil {
		return problem
	}
	if r.route.Kind == routing.Stream {
		return r.serveTurn(ctx)
	}
	return r.serveBuffered(ctx)
}

// releaseMemory releases the memory of the request's body.
func (r *request) releaseMemory() {
	if r.held != nil {
		r.held.Release()
	}
}

// timeLimit returns how long the request may take.
func (r *request) timeLimit() time.Duration {
	limit := r.call.Deadline
	if r.route.Timeout > 0 && (limit == 0 || r.route.Timeout < limit) {
		limit = r.route.Timeout
	}
	if limit == 0 {
		limit = defaultTimeLimit
	}
	return limit
}

// target returns the path and query as received.
func (r *request) target() string {
	if strings.HasPrefix(r.http.RequestURI, "/") {
		return r.http.RequestURI
	}
	return r.http.URL.RequestURI() // the client sent an absolute URI
}

// pathOf returns a target's path.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
