package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/placement"
	"github.com/pewtermill/pewtermill/internal/poison"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// replacedFleet is what surrounds one request: engines in the order in which they are chosen, of which the first one rejects it, and three
// peers that store origins.
type replacedFleet struct {
	Placer
	Protocol
	Carrier
	EndReporter
	engines    []routing.Engine
	unrecorded string // version that the record of versions lacks
	lostPeer   string // the connection to it is lost once all peers have stored the first origin; empty for none

	mutex  sync.Mutex
	stored sync.WaitGroup // of the first origin
	sentTo []string       // engines
	lost   bool
}

// Place implements Placer.
func (f *replacedFleet) Place(_ context.Context, request placement.Request) (placement.Placement, *api.Error) {
	for _, engine := range f.engines {
		if !slices.Contains(request.Excluded, engine.ID) && (request.Version == "" || request.Version == engine.Version) {
			return placement.Placement{Engine: engine}, nil
		}
	}
	if request.Version != "" {
		return placement.Placement{}, api.Errorf(api.StreamVersionGone, "no engine of version %s", request.Version)
	}
	return placement.Placement{}, api.Errorf(api.NoReadyBackend, "no engine")
}

// Answered implements Placer.
func (f *replacedFleet) Answered(*placement.Placement) {}

// Done implements Placer.
func (f *replacedFleet) Done(placement.Placement, placement.Result) {}

// SetForwardHeaders implements Protocol.
func (f *replacedFleet) SetForwardHeaders(http.Header, Hop) {}

// IsAnswerTo implements Protocol.
func (f *replacedFleet) IsAnswerTo(http.Header, Call) bool { return true }

// IsEngineAnswer implements Protocol.
func (f *replacedFleet) IsEngineAnswer(int, http.Header) bool { return true }

// NotExecuted implements Protocol.
func (f *replacedFleet) NotExecuted(status int, _ http.Header) bool {
	return status == http.StatusServiceUnavailable
}

// Misdirected implements Protocol.
func (f *replacedFleet) Misdirected(int) bool { return false }

// AwaitAnswers implements EndReporter.
func (f *replacedFleet) AwaitAnswers(context.Context) {}

// Choose implements Carrier.
func (f *replacedFleet) Choose(carry.Request, string, bool) carry.Decision {
	return carry.Decision{Peer: "carrier"}
}

// Send implements Carrier.
func (f *replacedFleet) Send(_ context.Context, _ string, request carry.Request) (*http.Response, error) {
	f.mutex.Lock()
	f.sentTo = append(f.sentTo, request.Engine)
	first := len(f.sentTo) == 1
	f.mutex.Unlock()
	status := http.StatusOK
	if first {
		status = http.StatusServiceUnavailable
		f.stored.Wait()
		f.mutex.Lock()
		f.lost = f.lostPeer != ""
		f.mutex.Unlock()
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// Do has a peer store an origin.
func (f *replacedFleet) Do(_ context.Context, address string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lost && address == f.lostPeer {
		return nil, errors.Mark(errors.New("no connection"), wire.ErrNotSent)
	}
	if request.GetTellOrigins().GetOrigins()[0].GetAttempt() == 1 {
		f.stored.Done()
	}
	return &wirepb.Reply{}, nil
}

// OriginNotReplicated implements origins.Observer.
func (f *replacedFleet) OriginNotReplicated(origins.Origin) {}

// OriginReplicationFailed implements origins.Observer.
func (f *replacedFleet) OriginReplicationFailed(string, int, error) {}

// Await implements VersionRecord.
func (f *replacedFleet) Await(ctx context.Context, _, version string) error {
	if version != f.unrecorded {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// add adds engines, as id=version.
func (f *replacedFleet) add(engines ...string) {
	for _, engine := range engines {
		id, version, _ := strings.Cut(engine, "=")
		f.engines = append(f.engines, routing.Engine{ID: id, Service: "models", Version: version, Incarnation: routing.Incarnation{Name: id}})
	}
}

// request returns a request that starts a stream which its client may resume.
func (f *replacedFleet) request(t *testing.T) *request {
	peers := []origins.Peer{{Zone: "a", Address: "peer-1"}, {Zone: "b", Address: "peer-2"}, {Zone: "c", Address: "peer-3"}}
	f.stored.Add(len(peers))
	client := origins.NewClient(origins.Options{Node: "node", Memory: origins.NewMemory(), Observer: f,
		Versions:  func(string) []string { return []string{"v1", "v2"} },
		KnownFor:  func(string) time.Duration { return time.Hour },
		Suspected: func(string) bool { return false }})
	client.SetPeers(f, peers)
	view := &discovery.View{Table: routing.NewTable(&routing.Configuration{Version: 1}), Engines: make(map[string]routing.Engine)}
	for _, engine := range f.engines {
		view.Engines[engine.ID] = engine
	}
	pool := upstream.NewPool(upstream.Options{})
	t.Cleanup(pool.Close)
	options := Options{View: func() *discovery.View { return view }, Pool: pool, Protocol: f, Placer: f, Carrier: f, EndReporter: f, Origins: client,
		VersionRecord: f, EndedEngines: poison.NewMemory()}
	return &request{
		handler: &Handler{options: options, conversations: conversations.NewCache(), prober: newProber(pool, options.View, "")},
		http:    httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/stream", nil),
		view:    view,
		call:    Call{ID: "stream"},
		route:   &routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 3, Backends: []routing.Backend{{Service: "models"}}},
		service: "models", arrived: time.Now(), deadline: time.Now().Add(time.Minute),
	}
}

// TestNothingIsSentAtAVersionThatAPeerDenies guards against streams joined from two versions: a request's first send goes to an engine of
// v1, which rejects it, and a peer that stores that is lost. The request is sent to no engine of v2, since the peer could tell v1 later.
func TestNothingIsSentAtAVersionThatAPeerDenies(t *testing.T) {
	for name, test := range map[string]struct {
		engines    []string // as id=version
		lostPeer   string
		mayHaveRun bool // at an engine before
		wantSentTo []string
		wantCode   api.Code
		wantRun    api.Execution
	}{
		"all peers respond":                      {engines: []string{"a=v1", "b=v2", "c=v1"}, wantSentTo: []string{"a", "b"}},
		"a peer is lost":                         {engines: []string{"a=v1", "b=v2", "c=v1"}, lostPeer: "peer-2", wantSentTo: []string{"a", "c"}},
		"a peer is lost, the version is as well": {engines: []string{"a=v1", "b=v2", "c=v2"}, lostPeer: "peer-2", wantSentTo: []string{"a"}, wantCode: api.NoReadyBackend, wantRun: api.NotRun},
		"the same, and the request may have run": {engines: []string{"a=v1", "b=v2", "c=v2"}, lostPeer: "peer-2", mayHaveRun: true, wantSentTo: []string{"a"}, wantCode: api.NoReadyBackend, wantRun: api.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := &replacedFleet{lostPeer: test.lostPeer}
			f.add(test.engines...)
			current, problem := f.request(t).send(t.Context(), &attemptTracker{mayHaveRun: test.mayHaveRun}, "")
			if !slices.Equal(f.sentTo, test.wantSentTo) {
				t.Errorf("sent to %v, want %v", f.sentTo, test.wantSentTo)
			}
			if problem == nil {
				problem = &api.Error{}
				current.finish(placement.Served, "")
			}
			if problem.Code != test.wantCode || problem.Execution != test.wantRun || (test.wantRun == api.NotRun) != (problem.RetryAfter > 0) {
				t.Errorf("got %+v, want code %d, execution %q", problem, test.wantCode, test.wantRun)
			}
		})
	}
}

// TestEngineThatWasSentNothingHasNotEnded guards against an engine that counts as ended under a request, though the request was not sent to it:
// it waited for the record of versions for as long as an engine may be silent.
func TestEngineThatWasSentNothingHasNotEnded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := &replacedFleet{unrecorded: "v1"}
		f.add("a=v1")
		r := f.request(t)
		_, problem := r.send(t.Context(), &attemptTracker{}, "")
		if problem == nil || problem.Execution != api.NotRun || len(f.sentTo) > 0 {
			t.Errorf("sent to %v, got %v", f.sentTo, problem)
		}
		if outcome := r.report.Attempts[0].Outcome; outcome != placement.Yielded || len(r.endReports) > 0 {
			t.Errorf("the outcome is %s, and %d ends of engines are examined; want yielded and none", outcome, len(r.endReports))
		}
	})
}
