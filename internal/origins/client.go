package origins

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits of querying peers for where a stream started.
const (
	// maxQueried is how many peers are queried at once. It is larger than replicaCount, since nodes may differ in which
	// peers they list and reach.
	maxQueried = 8
	// findTimeout is how long a peer, also one in another region, may take to respond.
	findTimeout = 150 * time.Millisecond
)

// peerClient sends a request to a peer. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of origins that are not replicated. It must not block.
type Observer interface {
	// OriginNotReplicated is called for a stream whose origin no peer confirmed to have stored, while several versions serve.
	OriginNotReplicated(origin Origin)
	// OriginReplicationFailed is called when a peer could not store the origins of streams that this node started while it
	// had only one version listed.
	OriginReplicationFailed(peer string, count int, cause error)
}

// Options configure a Client.
type Options struct {
	Node   string
	Memory *Memory
	// Versions returns the software versions of a service that this node lists or listed recently.
	Versions func(service string) []string
	// KnownFor returns for how long until now a service has certainly had no other versions than these, and has shared no
	// route with another service; 0 if that is unknown.
	KnownFor func(service string) time.Duration
	// HasUnreadChange reports whether the store has a change that this node has not read yet and by which a service may have, or
	// have had, another version than the given one. With an error, that is unknown.
	HasUnreadChange func(ctx context.Context, service, version string) (bool, error)
	// FixedWindow replaces ResumeWindow of each call, unless it is 0.
	FixedWindow time.Duration
	// Suspected reports whether a peer is excluded, because its zone is suspected to be lost.
	Suspected func(address string) bool
	Observer  Observer
	Record    Record // nil for none
}

// Record states in the store which streams nodes began. It is asked once no other source knows a stream's origin.
type Record interface {
	// Find returns a stream's origin, and false if it is not recorded. With an error, that is unknown.
	Find(ctx context.Context, stream string) (Origin, bool, error)
	// Wake makes the node record a stream that it begins. It does not block.
	Wake()
}

// Client replicates the origins of streams to peers, and queries peers for them. Safe for concurrent use.
type Client struct {
	options Options
	peers   atomic.Pointer[peerSet] // nil before the first call of SetPeers
}

// peerSet is the client for requests to peers, and the peers that store origins.
type peerSet struct {
	client   peerClient
	count    int // of peers
	replicas []Peer
}

// NewClient returns a client without peers.
func NewClient(options Options) *Client { return &Client{options: options} }

// SetPeers replaces the peers to which origins are replicated and that are queried.
func (c *Client) SetPeers(client peerClient, peers []Peer) {
	c.peers.Store(&peerSet{client: client, count: len(peers), replicas: replicaPeers(peers)})
}

// PeerCount returns the number of peers.
func (c *Client) PeerCount() int {
	if peers := c.peers.Load(); peers != nil {
		return peers.count
	}
	return 0
}

// reachable returns the addresses of the peers that may store a stream's origin, in order of preference and without
// excluded ones.
func (c *Client) reachable(stream string) []string {
	peers := c.peers.Load()
	if peers == nil {
		return nil
	}
	return slices.DeleteFunc(rankedAddresses(peers.replicas, stream), c.options.Suspected)
}

// Basis is the source from which a stream's version is known.
type Basis string

// Values of Basis.
const (
	ByMemory      Basis = "memory"       // this node has the origin
	ByPeer        Basis = "peer"         // a peer has the origin
	ByStore       Basis = "store"        // the process that started the stream recorded the origin in the store
	ByOnlyVersion Basis = "only_version" // all queried nodes list the same single version of the service
	Unknown       Basis = "unknown"      // none of these
)

// Finding is the result of looking up where a stream started.
type Finding struct {
	Basis         Basis
	Origin        Origin        // without an engine if ByOnlyVersion; empty if Unknown
	PeersAsked    int           // number of peers queried
	PeersAnswered int           // number of peers that responded before the origin was found
	Versions      []string      // of the service, as listed by this node and the peers that responded
	KnownFor      time.Duration // the longest time for which one of these nodes knows that there were no other versions
	StoreError    error         // why it is unknown what the store says; nil if it was read, or was not needed
}

// response is the response of one peer.
type response struct {
	body      *wirepb.OriginFound // nil if there is none
	origin    Origin
	hasOrigin bool
}

// Query identifies a stream that a client resumes.
type Query struct {
	Stream       string        // its ID; empty if the client does not name it
	Service      string        // that would serve it now
	ResumeWindow time.Duration // how long ago the stream may have started, and a little longer
	RouteSplit   bool          // the stream's route has several services
}

// Find returns where a stream started. It never guesses: if no queried node has its origin, it started at the version that
// the nodes list only if they list one, one of them knows that there was no other within the resume window, and the store has no change
// that this node missed. Else only what a process recorded in the store is certain.
func (c *Client) Find(ctx context.Context, query Query) Finding {
	now := time.Now()
	if origin, found := c.options.Memory.Get(query.Stream, now); found {
		return Finding{Basis: ByMemory, Origin: origin}
	}
	finding := c.query(ctx, query.Stream, query.Service)
	switch {
	case finding.Basis == ByPeer:
		c.options.Memory.Put(finding.Origin, now)
	case len(finding.Versions) == 1 && !query.RouteSplit && finding.KnownFor >= c.window(query.ResumeWindow) && c.missedNothing(ctx, query.Service, finding):
		finding.Basis = ByOnlyVersion
		finding.Origin = Origin{Stream: query.Stream, Service: query.Service, Version: finding.Versions[0]}
	case query.Stream != "" && c.options.Record != nil:
		finding.findInStore(ctx, c.options.Record, query.Stream)
	}
	return finding
}

// missedNothing reports whether the version that the nodes list is the only one of the service now: a node that is cut off does not see
// which versions join. While the store does not tell, a peer's answer shows that this node is not cut off by itself.
func (c *Client) missedNothing(ctx context.Context, service string, finding Finding) bool {
	unread, err := c.options.HasUnreadChange(ctx, service, finding.Versions[0])
	if err != nil {
		return finding.PeersAnswered > 0 || finding.PeersAsked == 0
	}
	return !unread && slices.Equal(c.options.Versions(service), finding.Versions) // read meanwhile
}

// findInStore completes a finding by what the store says of a stream.
func (f *Finding) findInStore(ctx context.Context, record Record, stream string) {
	origin, found, err := record.Find(ctx, stream)
	f.StoreError = err
	if err == nil && found {
		f.Basis, f.Origin = ByStore, origin
	}
}

// window returns the resume window that applies.
func (c *Client) window(window time.Duration) time.Duration {
	return cmp.Or(c.options.FixedWindow, window)
}

// query queries peers until one has the stream's origin, or all have responded or failed.
func (c *Client) query(ctx context.Context, stream, service string) Finding {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	finding := Finding{Basis: Unknown, KnownFor: c.options.KnownFor(service), Versions: slices.Clone(c.options.Versions(service))}
	peers := c.reachable(stream)
	peers = peers[:min(maxQueried, len(peers))]
	finding.PeersAsked = len(peers)
	responses := make(chan response, len(peers))
	for _, peer := range peers {
		go func() { responses <- c.queryPeer(ctx, peer, stream, service) }()
	}
	for range peers {
		reply := <-responses
		if reply.body == nil {
			continue
		}
		finding.PeersAnswered++
		if reply.hasOrigin {
			finding.Basis, finding.Origin = ByPeer, reply.origin
			return finding
		}
		finding.Versions = append(finding.Versions, reply.body.GetVersions()...)
		finding.KnownFor = max(finding.KnownFor, millis(reply.body.GetKnownMillis()))
	}
	slices.Sort(finding.Versions)
	finding.Versions = slices.Compact(finding.Versions)
	return finding
}

// queryPeer queries one peer. A peer whose request fails, or whose build does not know the message, counts as not responding.
func (c *Client) queryPeer(ctx context.Context, peer, stream, service string) response {
	request := &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_FindOrigin{
		FindOrigin: &wirepb.FindOrigin{Stream: stream, Service: service},
	}}
	reply, err := c.peers.Load().client.Do(ctx, peer, request, nil)
	if err != nil || api.Code(reply.GetCode()) != api.OK {
		return response{}
	}
	var body wirepb.OriginFound
	if proto.Unmarshal(reply.GetBody(), &body) != nil || !body.GetUnderstood() {
		return response{}
	}
	result := response{body: &body}
	if body.GetOrigin() != nil {
		result.origin, result.hasOrigin = originOf(body.GetOrigin(), time.Now())
	}
	return result
}
