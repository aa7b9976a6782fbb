package origins

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits of replicating the origins of streams to peers.
const (
	// replicaCount is how many peers are to store an origin: one of them is left if a zone and one more node are lost.
	replicaCount = 3
	// replicateTimeout is how long a peer, also one in another region, may take to confirm. Engines take about as long
	// until the first event, which is delayed by no more than this.
	replicateTimeout = 250 * time.Millisecond
)

// errDeclined marks the error of a peer that responded and has not stored an origin.
var errDeclined = errors.New("declined")

// Replication is the replication of one origin to peers. Safe for concurrent use.
type Replication struct {
	origin    Origin
	holders   *holders      // of all sends of the stream
	replaces  bool          // peers may have stored another version when it started
	done      chan struct{} // closed once enough peers have stored the origin, or no other can in time
	confirmed atomic.Int32
}

// Wait waits until enough peers have stored the origin for its first event to be sent, or until no more can in time.
func (t *Replication) Wait(ctx context.Context) {
	select {
	case <-t.done:
	case <-ctx.Done():
	}
}

// AwaitReplaced waits until every peer that may have stored another version of the stream, from an earlier send, has replaced it. With an
// error, one may have not, and the stream must not begin at this origin. It does not wait if there is no such peer.
func (t *Replication) AwaitReplaced(ctx context.Context) error {
	if !t.replaces {
		return nil
	}
	t.Wait(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	if peers := t.holders.othersThan(t.origin); len(peers) > 0 {
		return errors.Newf("%d peers may have another version than %s stored for the stream, the first is %s", len(peers), t.origin.Version, peers[0])
	}
	return nil
}

// Confirmed returns how many peers have confirmed that they stored the origin.
func (t *Replication) Confirmed() int { return int(t.confirmed.Load()) }

// BeginOptions decide, together with the origin, whether it is replicated and how many confirmations are awaited.
type BeginOptions struct {
	RouteSplit   bool          // the stream's route has several services
	ResumeWindow time.Duration // see Query
	Earlier      *Replication  // of the stream's previous send, which yielded no event; nil for the first
}

// Begin stores where a stream is about to start, before it is sent there. Unless this node could infer the stream's version,
// the origin is replicated to peers as well, and the first event may be sent once one of them has confirmed. If peers may have another
// version stored, from an earlier send, all of these are sent the origin; the stream must not begin unless AwaitReplaced returns nil.
func (c *Client) Begin(origin Origin, options BeginOptions) *Replication {
	now := time.Now()
	needed := options.RouteSplit || c.options.KnownFor(origin.Service) < c.window(options.ResumeWindow) || len(c.options.Versions(origin.Service)) > 1
	origin.NotInferable = needed
	replication := &Replication{origin: origin, holders: &holders{}, done: make(chan struct{})}
	if options.Earlier != nil {
		replication.holders = options.Earlier.holders
	}
	var peers []string
	if needed {
		peers = c.reachable(origin.Stream)
	}
	c.options.Memory.putOwn(origin, replication.holders, len(peers) > 0, now)
	outdated := replication.holders.begin(origin)
	replication.replaces = len(outdated) > 0
	peers = append(outdated, slices.DeleteFunc(peers, func(peer string) bool { return slices.Contains(outdated, peer) })...)
	if len(peers) == 0 || slices.ContainsFunc(outdated, c.options.Suspected) {
		close(replication.done) // an excluded peer would not confirm; the others keep the earlier version
		return replication
	}
	go c.replicate(replication, peers, len(outdated))
	return replication
}

// Began is called once a stream has certainly begun at an origin, which Begin was called with, before its first event is sent.
// No later send of the stream goes to another version.
func (c *Client) Began(origin Origin) {
	begun, found := c.options.Memory.markBegun(origin)
	if found && begun.NotInferable && c.options.Record != nil {
		c.options.Record.Wake()
	}
}

// replicate stores an origin at all outdated peers, which are the first ones, and at replicaCount in all. If a peer fails, the next one
// is tried.
func (c *Client) replicate(replication *Replication, peers []string, outdated int) {
	ctx, cancel := context.WithTimeout(context.Background(), replicateTimeout)
	defer cancel()
	finish := sync.OnceFunc(func() { close(replication.done) })
	defer finish()
	remaining := make(chan string, len(peers))
	for _, peer := range peers {
		remaining <- peer
	}
	close(remaining)
	var workers sync.WaitGroup
	for range min(max(replicaCount, outdated), len(peers)) {
		workers.Go(func() {
			for peer := range remaining {
				if !c.tell(ctx, peer, replication) {
					continue
				}
				replication.confirmed.Add(1)
				if len(replication.holders.othersThan(replication.origin)) == 0 {
					finish()
				}
				return
			}
		})
	}
	workers.Wait()
	if replication.Confirmed() == 0 {
		c.options.Observer.OriginNotReplicated(replication.origin)
	}
}

// tell has one peer store the origin of a replication, unless a later send has begun. It reports whether the peer has confirmed.
func (c *Client) tell(ctx context.Context, peer string, replication *Replication) bool {
	origin := replication.origin
	if !replication.holders.mayTell(peer, origin) {
		return false
	}
	err := c.sendToPeer(ctx, peer, &wirepb.TellOrigins{Origins: []*wirepb.StreamOrigin{origin.toMessage(time.Now())}})
	switch {
	case err == nil:
		replication.holders.stored(peer, origin)
	case errors.Is(err, errDeclined), errors.Is(err, wire.ErrNotSent):
		replication.holders.notStored(peer, origin)
	}
	return err == nil
}

// sendToPeer sends origins to one peer. With an error, the peer may not have stored them; with errDeclined, it has not stored the last
// one.
func (c *Client) sendToPeer(ctx context.Context, peer string, request *wirepb.TellOrigins) error {
	peers := c.peers.Load()
	if peers == nil {
		return errors.New("there are no peers")
	}
	reply, err := peers.client.Do(ctx, peer, &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_TellOrigins{TellOrigins: request}}, nil)
	switch {
	case err != nil:
		return err
	case api.Code(reply.GetCode()) != api.OK:
		return errors.Mark(errors.Newf("at %s: %s", peer, reply.GetDetail()), errDeclined)
	case len(reply.GetBody()) > 0:
		return errors.Mark(errors.Newf("%s does not support the message", peer), errDeclined)
	}
	return nil
}

// ReplicateOwn replicates the origins of a service's streams that this node started while it had one version listed. It is
// called once a second version is listed. It does not block.
func (c *Client) ReplicateOwn(service string) {
	go c.replicateBatch(c.options.Memory.takeUnreplicated(service, time.Now()))
}

// ReplicateAll replicates all origins that this node stores, since it is about to stop. It returns once peers have confirmed
// or the timeout has passed.
func (c *Client) ReplicateAll() { c.replicateBatch(c.options.Memory.all(time.Now())) }

// replicateBatch replicates each origin to replicaCount peers, in one message to each peer.
func (c *Client) replicateBatch(batch []batchOrigin) {
	now := time.Now()
	byPeer := make(map[string]*wirepb.TellOrigins)
	for _, origin := range batch {
		peers := c.reachable(origin.Stream)
		for _, peer := range peers[:min(replicaCount, len(peers))] {
			if origin.holders != nil && !origin.holders.mayTell(peer, origin.Origin) {
				continue
			}
			if byPeer[peer] == nil {
				byPeer[peer] = &wirepb.TellOrigins{}
			}
			byPeer[peer].Origins = append(byPeer[peer].Origins, origin.toMessage(now))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), replicateTimeout)
	defer cancel()
	var workers sync.WaitGroup
	for peer, request := range byPeer {
		workers.Go(func() {
			if err := c.sendToPeer(ctx, peer, request); err != nil {
				c.options.Observer.OriginReplicationFailed(peer, len(request.GetOrigins()), err)
			}
		})
	}
	workers.Wait()
}
