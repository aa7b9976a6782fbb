package poison

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits of reporting to peers.
const (
	// reportTimeout is how long a peer, also one in another region, may take to confirm.
	reportTimeout = 150 * time.Millisecond
	// maxReported is how many requests one message holds at most.
	maxReported = 200
	// firstRetry and maxRetry are the pauses before a report that a peer has not confirmed is sent again.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 4 * time.Second
	// maxAsked is how many peers a node asks, of those that it has newly listed, and thereby how many connections it opens.
	maxAsked = 32
	// maxAsks is how many times a peer is asked that does not answer, and askPause the pause between two of them.
	maxAsks  = 4
	askPause = 500 * time.Millisecond
	// announcementTTL is how long a peer that has asked gets reports although it is not listed. Nodes refresh their lists of
	// peers more often.
	announcementTTL = 3 * time.Minute
)

// peerClient sends a request to a peer. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of peers that confirm no report. It must not block.
type Observer interface {
	// ReportFailed is called for the first of consecutive failures to report to a peer.
	ReportFailed(peer string, cause error)
}

// Options configure a Client.
type Options struct {
	Node    string
	Address func() string // of this node, for peers
	Memory  *Memory
	// Suspected reports whether a peer is not waited for, because its zone is suspected to be lost.
	Suspected func(address string) bool
	Observer  Observer
}

// Client reports to all peers which engines ended under which requests, so that each of them knows when it gets the
// client's next try. Safe for concurrent use.
type Client struct {
	options Options

	mutex  sync.Mutex
	client peerClient // nil before SetPeers
	peers  map[string]*peer
}

// peer is what a Client knows of one peer.
type peer struct {
	address     string
	announcedAt time.Time       // when it last asked; zero if it never did; guarded by the client's mutex
	removed     context.Context // ends when the peer is no longer listed
	remove      context.CancelFunc

	sending   sync.Mutex // held while a report is sent
	confirmed uint64     // sequence number of the last change that the peer has confirmed; guarded by sending
	mutex     sync.Mutex
	retrying  bool // a goroutine repeats the report until the peer confirms; guarded by mutex
}

// NewClient returns a client without peers.
func NewClient(options Options) *Client {
	return &Client{options: options, peers: make(map[string]*peer)}
}

// SetPeers replaces the peers. New ones get a report of what this node has recorded, and up to maxAsked of them are asked
// for what they have. A node that has started knows its peers before they list it; those that it has asked report to it
// from then on.
func (c *Client) SetPeers(client peerClient, addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.client = client
	listed := make(map[string]bool, len(addresses))
	var added []string
	for _, address := range addresses {
		listed[address] = true
		if c.peers[address] == nil {
			c.add(address)
			added = append(added, address)
		}
	}
	rand.Shuffle(len(added), func(i, j int) { added[i], added[j] = added[j], added[i] })
	for _, address := range added[:min(len(added), maxAsked)] {
		go c.ask(address)
	}
	for address, existing := range c.peers {
		if !listed[address] && time.Since(existing.announcedAt) > announcementTTL {
			existing.remove()
			delete(c.peers, address)
		}
	}
}

// addPeer adds a peer that has asked. One that is known may have restarted, and gets everything again.
func (c *Client) addPeer(address string, now time.Time) {
	if address == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.client == nil {
		return // this node has not found its own peers yet, and will ask this one
	}
	if existing := c.peers[address]; existing != nil {
		existing.remove()
	}
	c.add(address).announcedAt = now
}

// add adds a peer, and reports to it what this node has recorded. The mutex must be held.
func (c *Client) add(address string) *peer {
	added := &peer{address: address}
	added.removed, added.remove = context.WithCancel(context.Background())
	c.peers[address] = added
	if !c.options.Memory.Empty() {
		go c.report(context.Background(), added)
	}
	return added
}

// Close ends all retries.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, existing := range c.peers {
		existing.remove()
	}
}

// Report reports to all peers what this node has recorded and they have not confirmed yet. It returns once each has
// confirmed or failed to, or ctx ends. A report that a peer has not confirmed is sent again later.
func (c *Client) Report(ctx context.Context) {
	c.mutex.Lock()
	peers := make([]*peer, 0, len(c.peers))
	for _, listed := range c.peers {
		peers = append(peers, listed)
	}
	c.mutex.Unlock()
	var awaited sync.WaitGroup
	for _, listed := range peers {
		if c.options.Suspected(listed.address) {
			c.retry(listed)
			continue
		}
		awaited.Go(func() { c.report(context.WithoutCancel(ctx), listed) })
	}
	confirmed := make(chan struct{})
	go func() {
		awaited.Wait()
		close(confirmed)
	}()
	select {
	case <-confirmed:
	case <-ctx.Done():
	}
}

// report reports to a peer once, unless a goroutine does so repeatedly already.
func (c *Client) report(ctx context.Context, listed *peer) {
	if listed.isRetrying() {
		return
	}
	if err := c.deliver(ctx, listed); err != nil && listed.removed.Err() == nil {
		c.options.Observer.ReportFailed(listed.address, err)
		c.retry(listed)
	}
}

func (p *peer) isRetrying() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.retrying
}

// setRetrying sets whether a goroutine repeats the report. It reports whether that changed.
func (p *peer) setRetrying(retrying bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changed := p.retrying != retrying
	p.retrying = retrying
	return changed
}

// retry repeats the report to a peer, with growing pauses, until it confirms or is no longer listed.
func (c *Client) retry(listed *peer) {
	if !listed.setRetrying(true) {
		return
	}
	go func() {
		for pause := firstRetry; backoff.Wait(listed.removed, backoff.Jitter(pause)); pause = min(maxRetry, 2*pause) {
			if c.deliver(listed.removed, listed) == nil {
				break
			}
		}
		listed.setRetrying(false)
		if listed.removed.Err() == nil && c.deliver(listed.removed, listed) != nil { // recorded while retrying was still set
			c.retry(listed)
		}
	}()
}

// deliver sends a peer all changes that it has not confirmed.
func (c *Client) deliver(ctx context.Context, listed *peer) error {
	listed.sending.Lock()
	defer listed.sending.Unlock()
	for {
		requests, upTo := c.options.Memory.changesAfter(listed.confirmed, maxReported, time.Now())
		if len(requests) == 0 {
			listed.confirmed = upTo
			return nil
		}
		message := &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_ReportEnds{ReportEnds: &wirepb.ReportEnds{Requests: requests}}}
		reply, err := c.do(ctx, listed.address, message)
		if err != nil {
			return err
		}
		// A peer whose build does not know the message will not confirm it later either.
		if code := api.Code(reply.GetCode()); code != api.OK && code != api.UnknownMessage {
			return errors.Newf("refused with code %d: %s", code, reply.GetDetail())
		}
		listed.confirmed = upTo
	}
}

func (c *Client) do(ctx context.Context, address string, message *wirepb.Request) (*wirepb.Reply, error) {
	c.mutex.Lock()
	client := c.client
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return client.Do(ctx, address, message, nil)
}

// ask asks a peer for what it has recorded. One that does not answer is asked again by maxAsks.
func (c *Client) ask(address string) {
	question := &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_ListEnds{ListEnds: &wirepb.ListEnds{Address: c.options.Address()}}}
	for attempt := range maxAsks {
		if attempt > 0 {
			backoff.Wait(context.Background(), backoff.Jitter(askPause))
		}
		reply, err := c.do(context.Background(), address, question)
		if err != nil {
			continue
		}
		var recorded wirepb.EndsRecorded
		if proto.Unmarshal(reply.GetBody(), &recorded) == nil && recorded.GetUnderstood() {
			c.options.Memory.merge(recorded.GetRequests(), time.Now())
		}
		return // a peer whose build does not know the message cannot be asked at all
	}
}
