package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/routing"
)

// Origins stores which software version started a stream. *origins.Client implements it.
type Origins interface {
	// Begin stores where a stream is about to start, and replicates it to peers if they may need it.
	Begin(origin origins.Origin, how origins.BeginOptions) *origins.Replication
	// Began records that a stream has begun at an origin, before its first event is sent.
	Began(origin origins.Origin)
	// Find returns where a stream started that a client resumes.
	Find(ctx context.Context, query origins.Query) origins.Finding
}

// VersionRecord states which software versions may have started streams.
type VersionRecord interface {
	// Await waits until a listed version is in the record, and returns an error if the context ends before.
	Await(ctx context.Context, service, version string) error
}

// versionRecordTimeout is how long a stream waits in all for the versions of the engines at which it is to start to be in the
// record. They are written when they are listed, as a rule before the first stream comes.
const versionRecordTimeout = 250 * time.Millisecond

// originMargin is how long a stream's origin is kept after its client's deadline: the remaining time is
// sent in whole milliseconds, and takes a few to arrive.
const originMargin = 2 * time.Second

// listingLag is how long nodes may differ in which engines they list.
const listingLag = 5 * time.Second

// streamOrigin identifies the engine that started a stream of which the client has events, or is about
// to get them.
type streamOrigin struct {
	version     string // the only one at which the stream may continue; empty before its first event
	engine      string // name of the engine
	sentAt      time.Time
	startedBy   routing.Engine       // the engine as it was chosen, or as it is listed if another node started the stream; empty if it is not listed
	announced   origins.Origin       // of the last send that was to start the stream; its Attempt is 0 before the first
	replication *origins.Replication // of that send; nil before the first
	startAt     string               // the only version at which the stream may start, since peers did not replace it; empty for any
	begun       bool                 // recordBegun has recorded that the stream began there
}

// isResume reports whether the client already has events of the stream.
func (c Call) isResume() bool { return c.LastEvent != "" || c.ResumesID != "" }

// bindTo binds the stream to the version of the engine that sent an event. It is the version of the
// incarnation that was chosen, whatever was listed under the engine's name since.
func (o *streamOrigin) bindTo(current *attempt) {
	if o.version == "" {
		o.version = current.placed.Engine.Version
		o.engine, o.sentAt, o.startedBy = current.placed.Engine.Name, current.startedAt, current.placed.Engine
	}
}

// findOrigin binds a stream that the client resumes to the version that started it. If that version is
// unknown or none of its engines is left, it returns a problem at once: the output of another version
// would not match what the client has.
func (r *request) findOrigin(ctx context.Context) *api.Error {
	if !r.call.isResume() {
		return nil
	}
	finding := r.handler.options.Origins.Find(ctx, origins.Query{
		Stream: r.call.ResumesID, Service: r.service, ResumeWindow: r.resumeWindow(), RouteSplit: len(r.route.Backends) > 1,
	})
	r.report.Origin.Finding = finding
	if finding.Basis == origins.Unknown {
		problem := api.Errorf(api.StreamVersionUnknown, "versions %q of service %s exist, others may have until %s ago, and neither this node nor any of %d peers that responded, of %d queried, has a record of which one started stream %q; %s",
			finding.Versions, r.service, finding.KnownFor.Round(time.Millisecond), finding.PeersAnswered, finding.PeersAsked, r.call.ResumesID, storeFinding(finding))
		switch {
		case finding.StoreError != nil:
			return problem.WithRetryAfter(backoff.Jitter(recordUnreadRetryAfter))
		case finding.PeersAsked > 0 && finding.PeersAnswered == finding.PeersAsked:
			return problem
		}
		return problem.WithRetryAfter(backoff.Jitter(elsewhereRetryAfter)) // another node may reach the peers that have it
	}
	origin := finding.Origin
	if !r.mayServe(origin.Service) {
		return api.Errorf(api.StreamVersionGone, "service %s, which started the stream, no longer serves route %s", origin.Service, r.route.Name)
	}
	if finding.Basis == origins.ByStore && !r.recordedStartIsListed(origin) {
		return api.Errorf(api.StreamVersionUnknown, "engine %s, which by the store started the stream with version %s, is not listed with that start: a later one may have started it", origin.Engine, origin.Version)
	}
	r.service = origin.Service
	r.origin = streamOrigin{version: origin.Version, engine: origin.Engine, sentAt: origin.SentAt}
	if listed, found := r.handler.options.View().EngineOf(origin.Engine); found && listed.Version == origin.Version {
		r.origin.startedBy = listed
	}
	return r.checkOrigin(ctx)
}

// storeFinding states why the store does not tell where a stream started.
func storeFinding(finding origins.Finding) string {
	if finding.StoreError != nil {
		return "the store could not be read: " + finding.StoreError.Error()
	}
	return "nor has the store"
}

// recordedStartIsListed reports whether the start of an engine that the store names for a stream is the one that is listed. Where engines
// restart under their names, the stream may have been sent to the next start before that was listed, and its node, which
// would have learned of it, is gone. If the engine does not state when it started, only its version can be compared.
func (r *request) recordedStartIsListed(origin origins.Origin) bool {
	listed, found := r.handler.options.View().EngineOf(origin.Engine)
	return found && listed.StartUnixMilli == origin.EngineStart && listed.Version == origin.Version
}

// resumeWindow returns how long ago a stream may have started that a client resumes now. A client comes back within its
// deadline; of that of an earlier attempt, the route's timeout is known.
func (r *request) resumeWindow() time.Duration {
	return max(origins.MinResumeWindow, max(r.call.Deadline, r.route.Timeout)+originMargin+listingLag)
}

// mayServe reports whether a service is a backend of the route.
func (r *request) mayServe(service string) bool {
	return slices.ContainsFunc(r.route.Backends, func(backend routing.Backend) bool { return backend.Service == service })
}

// checkOrigin rejects a stream that is bound to a version that no engine serves, or whose starting
// version is uncertain.
func (r *request) checkOrigin(ctx context.Context) *api.Error {
	r.report.Origin.Version = r.origin.version
	view := r.handler.options.View()
	if r.origin.engine != "" && !view.VersionIsCertain(r.origin.engine, r.origin.version, r.origin.sentAt) {
		return api.Errorf(api.StreamVersionUnknown, "engine %s restarted with a version other than %s around the time when it started the stream", r.origin.engine, r.origin.version)
	}
	if !view.HasVersion(r.service, r.origin.version) {
		return api.Errorf(api.StreamVersionGone, "no engine of service %s accepts new work at version %s, which started the stream", r.service, r.origin.version)
	}
	if detail := r.unlistedStart(ctx, view); detail != "" {
		return api.Errorf(api.StreamVersionUnknown, "engine %s may have started the stream with a version other than %s: %s", r.origin.engine, r.origin.version, detail)
	}
	return nil
}

// unlistedStart returns why an incarnation that this node does not list yet may have started the stream; empty if it
// certainly did not. An engine takes requests as soon as it has restarted, and may end again before this node has read its
// entry; so one that does not say which incarnation it is, is looked up in the store.
func (r *request) unlistedStart(ctx context.Context, view *discovery.View) string {
	engine, options := r.origin.startedBy, r.handler.options
	if engine.StartUnixMilli == 0 {
		return ""
	}
	if listed, found := view.EngineOf(engine.Name); found && listed.Incarnation != engine.Incarnation {
		return "" // VersionIsCertain has compared the time at which that one was listed
	}
	reported, err := options.IncarnationOf(ctx, engine)
	if err == nil && reported.Name == engine.Name && reported.StartUnixMilli != 0 {
		if reported == engine.Incarnation {
			return ""
		}
		return "it reports a start that is not listed"
	}
	unread, err := options.HasUnreadIncarnation(ctx, engine)
	switch {
	case err != nil:
		return "it does not respond, and the store does not confirm its last start: " + err.Error()
	case unread, !options.View().VersionIsCertain(r.origin.engine, r.origin.version, r.origin.sentAt):
		return "it does not respond, and has restarted"
	}
	return ""
}

// checkResumable returns a problem if an interrupted stream must not continue. A stream whose events
// were all buffered may restart at any version if its own one is not available.
func (s *stream) checkResumable(ctx context.Context) *api.Error {
	r := s.request
	if r.origin.version == "" {
		return nil
	}
	problem := r.checkOrigin(ctx)
	if problem == nil || s.optimistic == nil || r.call.isResume() {
		return problem
	}
	s.restartStream()
	return nil
}

// startsResumable reports whether the request starts a stream that its client may resume.
func (r *request) startsResumable() bool {
	return r.route.Kind == routing.Stream && r.route.Resumable && r.origin.version == ""
}

// awaitVersionRecord returns an error if the stream must not start at an engine yet, since its version would be unknown after a
// failure of all nodes.
func (r *request) awaitVersionRecord(ctx context.Context, engine routing.Engine) error {
	if !r.startsResumable() {
		return nil
	}
	if r.recordDeadline.IsZero() {
		r.recordDeadline = time.Now().Add(versionRecordTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, r.recordDeadline)
	defer cancel()
	return r.handler.options.VersionRecord.Await(ctx, engine.Service, engine.Version)
}

// replicateOrigin has peers store where the request is about to start a stream that its client may resume. With an error, a peer may return
// the version of an earlier send instead, and the request must not be sent.
func (r *request) replicateOrigin(ctx context.Context, current *attempt) error {
	if !r.startsResumable() {
		return nil
	}
	engine, previous := current.placed.Engine, r.origin.announced
	r.origin.announced = origins.Origin{
		Stream:  r.call.ID,
		Service: engine.Service,
		Version: engine.Version,
		Engine:  engine.Name,

		EngineStart: engine.StartUnixMilli,
		SentAt:      current.startedAt,
		ExpiresAt:   r.arrived.Add(max(r.call.Deadline, r.timeLimit()) + originMargin),
		Attempt:     previous.Attempt + 1,
	}
	r.origin.replication = r.handler.options.Origins.Begin(r.origin.announced, origins.BeginOptions{
		RouteSplit:   len(r.route.Backends) > 1,
		ResumeWindow: r.resumeWindow(),
		Earlier:      r.origin.replication,
	})
	err := r.origin.replication.AwaitReplaced(ctx)
	if err != nil && r.origin.startAt == "" {
		r.origin.startAt = previous.Version
	}
	return err
}

// startVersionProblem returns the problem of a request that no engine can take of the only version at which its stream may start.
func (r *request) startVersionProblem(cause *api.Error) *api.Error {
	return api.Errorf(api.NoReadyBackend, "peers may have version %s stored for the stream, to whose engines it was sent first: %s", r.origin.startAt, cause.Detail)
}

// recordBegun records that the stream has begun where its first event with data comes from, before that is sent to the client.
func (r *request) recordBegun() {
	announced := r.origin.announced
	if r.origin.begun || r.origin.version == "" || announced.Attempt == 0 {
		return
	}
	r.origin.begun = true
	if announced.Engine == r.origin.engine && announced.Version == r.origin.version {
		r.handler.options.Origins.Began(announced)
	}
}

// errOtherIncarnation is the reason why a stream is not continued at an engine that may have a version
// other than the listed one.
var errOtherIncarnation = errors.New("the engine does not report the incarnation that was chosen")

// confirmIncarnation ensures that a stream which is bound to a version continues at the incarnation
// that was chosen, where engines restart under their names: a later incarnation, possibly of another
// version, is listed only some time after it responds. If the incarnation at the address after the
// answer has started is the chosen one, it has also started the answer.
func (t *attempt) confirmIncarnation(ctx context.Context) error {
	engine := t.placed.Engine
	if t.request.origin.version == "" || engine.StartUnixMilli == 0 {
		return nil
	}
	reported, err := t.request.handler.options.IncarnationOf(ctx, engine)
	if err != nil {
		// What the question met says nothing about the request, which has been answered: marks of the error must not count.
		return errors.Mark(errors.Newf("ask for the incarnation of %s: %v", engine.ID, err), errOtherIncarnation)
	}
	if reported != engine.Incarnation {
		return errOtherIncarnation
	}
	return nil
}

// awaitReplication waits until a peer has stored where the stream starts, before the first event is
// sent. Engines take longer for that event than peers for a response.
func (r *request) awaitReplication() {
	if r.origin.replication == nil {
		return
	}
	r.origin.replication.Wait(r.http.Context())
	r.report.Origin.Confirmed = r.origin.replication.Confirmed()
}
