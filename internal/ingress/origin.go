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
	// Find returns where a stream started that a client resumes.
	Find(ctx context.Context, stream, service string) origins.Finding
}

// originMargin is how long a stream's origin is kept after its client's deadline: the remaining time is
// sent in whole milliseconds, and takes a few to arrive.
const originMargin = 2 * time.Second

// streamOrigin identifies the engine that started a stream of which the client has events, or is about
// to get them.
type streamOrigin struct {
	version     string // the only one at which the stream may continue; empty before its first event
	engine      string // name of the engine
	sentAt      time.Time
	startedBy   routing.Engine       // the engine as it was chosen, or as it is listed if another node started the stream; empty if it is not listed
	announced   origins.Origin       // of the last send that was to start the stream; its Attempt is 0 before the first
	replication *origins.Replication // of that send; nil before the first
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
	finding := r.handler.options.Origins.Find(ctx, r.call.ResumesID, r.service)
	r.report.Origin.Finding = finding
	if finding.Basis == origins.Unknown {
		problem := api.Errorf(api.StreamVersionUnknown, "versions %q of service %s exist, and neither this node nor any of %d peers that responded, of %d queried, has a record of which one started stream %q",
			finding.Versions, r.service, finding.PeersAnswered, finding.PeersAsked, r.call.ResumesID)
		if finding.PeersAsked > 0 && finding.PeersAnswered == finding.PeersAsked {
			return problem
		}
		return problem.WithRetryAfter(backoff.Jitter(elsewhereRetryAfter)) // another node may reach the peers that have it
	}
	origin := finding.Origin
	if !r.mayServe(origin.Service) {
		return api.Errorf(api.StreamVersionGone, "service %s, which started the stream, no longer serves route %s", origin.Service, r.route.Name)
	}
	r.service = origin.Service
	r.origin = streamOrigin{version: origin.Version, engine: origin.Engine, sentAt: origin.SentAt}
	if listed, found := r.handler.options.View().EngineOf(origin.Engine); found && listed.Version == origin.Version {
		r.origin.startedBy = listed
	}
	return r.checkOrigin(ctx)
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

// replicateOrigin has peers store where the request is about to start a stream that its client may resume.
func (r *request) replicateOrigin(current *attempt) {
	if r.route.Kind != routing.Stream || !r.route.Resumable || r.origin.version != "" {
		return
	}
	engine, previous := current.placed.Engine, r.origin.announced
	r.origin.announced = origins.Origin{
		Stream:    r.call.ID,
		Service:   engine.Service,
		Version:   engine.Version,
		Engine:    engine.Name,
		SentAt:    current.startedAt,
		ExpiresAt: r.arrived.Add(max(r.call.Deadline, r.timeLimit()) + originMargin),
		Attempt:   previous.Attempt + 1,
	}
	r.origin.replication = r.handler.options.Origins.Begin(r.origin.announced, origins.BeginOptions{
		RouteSplit: len(r.route.Backends) > 1,
		Replaces:   previous.Attempt > 0 && (previous.Version != engine.Version || previous.Service != engine.Service),
	})
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
		return errors.Mark(err, errOtherIncarnation)
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
