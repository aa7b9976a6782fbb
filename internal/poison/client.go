package poison

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
	// maxWriteWait is how long a report waits for the store.
	maxWriteWait = 250 * time.Millisecond
	// maxReported is how many requests one message holds at most.
	maxReported = 200
	// firstRetry and maxRetry are the pauses before a report that a peer has not confirmed is sent again.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 4 * time.Second
	// flushTimeout is how long Flush repeats a report to peers that do not confirm it.
	flushTimeout = 500 * time.Millisecond
	// flushPause is the pause before a report that is waited for is repeated.
	flushPause = 20 * time.Millisecond
	// maxAsked is how many peers a node asks, of those that it has newly listed, and thereby how many connections it opens.
	maxAsked = 32
	// maxAsks is how many times a peer is asked that does not answer, and askPause the pause between two of them.
	maxAsks  = 4
	askPause = 500 * time.Millisecond
	// maxAnswerWait is how long a request waits at most, at a node that has just started, for the first answer of a peer: as long as
	// it takes a node to find that the others are lost, or that it is cut off.
	maxAnswerWait = 600 * time.Millisecond
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
	// Asked is called with the address of a peer that asks, which is how one that has started makes itself known. It must not
	// block.
	Asked    func(address string)
	Rows     Rows // in the store
	Observer Observer
}

// Rows are the ends in the store. *Keeper implements it.
type Rows interface {
	// Write returns once the store has confirmed what is recorded now, or with an error.
	Write(ctx context.Context) error
	// AwaitRead returns once the rows have been read, or have not been for so long that requests wait no longer, or ctx ends.
	AwaitRead(ctx context.Context)
	// ReadRequest reads the rows of one request.
	ReadRequest(ctx context.Context, key Key) error
}

// Client reports to all peers which engines ended under which requests, so that each of them knows when it gets the
// client's next try. Safe for concurrent use.
type Client struct {
	options Options

	mutex    sync.Mutex
	client   peerClient // nil before SetPeers
	peers    map[string]*peer
	asked    bool                         // peers have been asked
	informed atomic.Pointer[firstAnswers] // nil except while the first peers are asked
}

// peer is what a Client knows of one peer.
type peer struct {
	address     string
	announcedAt time.Time       // when it last asked; zero if it never did; guarded by the client's mutex
	removed     context.Context // ends when the peer is no longer listed
	remove      context.CancelFunc

	sending   chan struct{} // holds an element while a report is sent
	confirmed uint64        // sequence number of the last change that the peer has confirmed; guarded by sending
	mutex     sync.Mutex
	retrying  bool // a goroutine repeats the report until the peer confirms; guarded by mutex
	// again holds an element if there is something new to report while retrying is set.
	again chan struct{}
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
	added = added[:min(len(added), maxAsked)]
	first := c.beginAsking(len(added))
	for _, address := range added {
		go c.ask(address, first)
	}
	for address, existing := range c.peers {
		if !listed[address] && time.Since(existing.announcedAt) > announcementTTL {
			existing.remove()
			delete(c.peers, address)
		}
	}
}

// beginAsking returns the answers of a number of peers that are about to be asked, if they are the first ones, and nil otherwise:
// the first ones, or this node's reports, have told it what others know. The mutex must be held.
func (c *Client) beginAsking(count int) *firstAnswers {
	if count == 0 || c.asked {
		return nil
	}
	c.asked = true
	first := newFirstAnswers(count, func() { c.informed.Store(nil) })
	c.informed.Store(first)
	return first
}

// AwaitAnswers waits until this node has read the rows of the store, and the first peers that it has found have told which engines ended,
// so that a client's next try is not sent on because this node has just started. A peer may take reportTimeout for that; if none has answered by then, it
// waits for the first one that does, maxAnswerWait at most. It returns at once at any other time, and if all peers have ended.
func (c *Client) AwaitAnswers(ctx context.Context) {
	c.options.Rows.AwaitRead(ctx)
	first := c.informed.Load()
	if first == nil {
		return
	}
	select {
	case <-first.done:
	case <-ctx.Done():
	}
}

// addPeer adds a peer that has asked. One that is known may have restarted, and gets everything again.
func (c *Client) addPeer(address string, now time.Time) {
	if address == "" {
		return
	}
	c.options.Asked(address)
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
	added := &peer{address: address, sending: make(chan struct{}, 1), again: make(chan struct{}, 1)}
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

// Report reports to all peers what this node has recorded and they have not confirmed yet, and writes it to the store. It returns once
// each has confirmed or failed to, or ctx ends. It reports whether any has confirmed. A report that a peer has not confirmed is sent
// again later; a peer that has not confirmed an earlier one gets both at once, and is not waited for.
func (c *Client) Report(ctx context.Context) bool {
	return c.reportToAll(ctx, func(listed *peer) bool { return c.report(context.WithoutCancel(ctx), listed) })
}

// ReportWithdrawal is like Report, for ends that do not count any more. It is sent at once also to a peer that has not confirmed
// an earlier report, again and again until it confirms or ctx ends, which must have a deadline: that peer may know the end, and would
// refuse the client's next try.
func (c *Client) ReportWithdrawal(ctx context.Context) {
	c.reportToAll(ctx, func(listed *peer) bool {
		confirmed := c.report(context.WithoutCancel(ctx), listed)
		// The observer has been notified of the first failure, and the retries go on in the background.
		for listed.isRetrying() && listed.removed.Err() == nil && c.deliver(ctx, listed) != nil && backoff.Wait(ctx, flushPause) {
		}
		return confirmed
	})
}

// ReportLastSend is like Report, before a request is sent to the last engine that it may end. It then reads what the store has of the
// request: of two nodes that write their ends before they read, one reads those of the other.
func (c *Client) ReportLastSend(ctx context.Context, key Key) bool {
	write := func(ctx context.Context) bool {
		return c.write(ctx) && c.options.Rows.ReadRequest(ctx, key) == nil
	}
	return c.reportTo(ctx, write, func(listed *peer) bool { return c.report(context.WithoutCancel(ctx), listed) })
}

// reportToAll is reportTo with the usual way of writing to the store.
func (c *Client) reportToAll(ctx context.Context, report func(listed *peer) bool) bool {
	return c.reportTo(ctx, c.write, report)
}

// reportTo reports to all peers and writes to the store in given ways, which report whether that is confirmed. It returns once that
// has returned for the store and each peer that is not suspected to be lost, or ctx ends. It reports whether any has confirmed.
func (c *Client) reportTo(ctx context.Context, write func(ctx context.Context) bool, report func(listed *peer) bool) bool {
	c.mutex.Lock()
	peers := slices.Collect(maps.Values(c.peers))
	c.mutex.Unlock()
	var awaited sync.WaitGroup
	var confirmed atomic.Bool
	awaited.Go(func() {
		if write(ctx) {
			confirmed.Store(true)
		}
	})
	for _, listed := range peers {
		if c.options.Suspected(listed.address) {
			c.retry(listed)
			continue
		}
		awaited.Go(func() {
			if report(listed) {
				confirmed.Store(true)
			}
		})
	}
	returned := make(chan struct{})
	go func() {
		awaited.Wait()
		close(returned)
	}()
	select {
	case <-returned:
	case <-ctx.Done():
	}
	return confirmed.Load()
}

// write writes to the store what is recorded. It reports whether the store has confirmed that. The observer of the rows is notified of a
// failure.
func (c *Client) write(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWriteWait)
	defer cancel()
	return c.options.Rows.Write(ctx) == nil
}

// Flush reports all that this node knows of failed requests before it stops, since its retries end with it. It waits for the
// checks in progress, and until the peers have confirmed, flushTimeout has passed or ctx ends.
func (c *Client) Flush(ctx context.Context) {
	if c.options.Memory.Empty() {
		return
	}
	c.options.Memory.awaitChecks(ctx)
	c.options.Memory.shareAll()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	c.mutex.Lock()
	peers := slices.Collect(maps.Values(c.peers))
	c.mutex.Unlock()
	var awaited sync.WaitGroup
	awaited.Go(func() { c.write(ctx) })
	for _, listed := range peers {
		awaited.Go(func() {
			for c.deliver(ctx, listed) != nil && backoff.Wait(ctx, flushPause) {
			}
		})
	}
	awaited.Wait()
}

// report reports to a peer once, and reports whether it has confirmed. If a goroutine does so repeatedly already, that one does it at once,
// and is not waited for.
func (c *Client) report(ctx context.Context, listed *peer) bool {
	if listed.isRetrying() {
		select {
		case listed.again <- struct{}{}:
		default: // it is about to
		}
		return false
	}
	err := c.deliver(ctx, listed)
	if err != nil && listed.removed.Err() == nil {
		c.options.Observer.ReportFailed(listed.address, err)
		c.retry(listed)
	}
	return err == nil
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

// retry repeats the report to a peer until it confirms or is no longer listed, with growing pauses, and at once if there is
// something new to report.
func (c *Client) retry(listed *peer) {
	if !listed.setRetrying(true) {
		return
	}
	go func() {
		for pause := firstRetry; listed.awaitRetry(&pause); {
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

// awaitRetry waits for a pause, which it doubles, or until there is something new to report. It reports whether the peer is still
// listed.
func (p *peer) awaitRetry(pause *time.Duration) bool {
	timer := time.NewTimer(backoff.Jitter(*pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		*pause = min(maxRetry, 2**pause)
	case <-p.again:
	case <-p.removed.Done():
	}
	return p.removed.Err() == nil
}

// deliver sends a peer all changes that it has not confirmed.
func (c *Client) deliver(ctx context.Context, listed *peer) error {
	select {
	case listed.sending <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "another report was being sent")
	}
	defer func() { <-listed.sending }()
	for {
		requests, upTo := c.options.Memory.changesAfter(listed.confirmed, maxReported, time.Now())
		if len(requests) == 0 {
			listed.confirmed = upTo
			return nil
		}
		message := &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_ReportEnds{ReportEnds: &wirepb.ReportEnds{Requests: requests}}}
		reply, err := c.do(ctx, listed.address, message, reportTimeout)
		if err != nil {
			return err
		}
		// A peer whose build does not know the message will not confirm it later either.
		if code := api.Code(reply.GetCode()); code != api.OK && code != api.UnknownMessage {
			return errors.Newf("refused with code %d: %s", code, reply.GetDetail())
		}
		c.mergeRecorded(reply)
		listed.confirmed = upTo
	}
}

// mergeRecorded adds what a peer's reply tells. That of a build that does not know the message tells nothing.
func (c *Client) mergeRecorded(reply *wirepb.Reply) {
	var recorded wirepb.EndsRecorded
	if proto.Unmarshal(reply.GetBody(), &recorded) == nil && recorded.GetUnderstood() {
		c.options.Memory.merge(recorded.GetRequests(), time.Now())
	}
}

func (c *Client) do(ctx context.Context, address string, message *wirepb.Request, timeout time.Duration) (*wirepb.Reply, error) {
	c.mutex.Lock()
	client := c.client
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return client.Do(ctx, address, message, nil)
}

// ask asks a peer for what it has recorded. One that does not answer is asked again by maxAsks. It records in first whether the
// peer has answered.
func (c *Client) ask(address string, first *firstAnswers) {
	timeout := reportTimeout
	if first != nil {
		timeout = maxAnswerWait // a request may wait so long for the answer
	}
	ended := false
	for attempt := range maxAsks {
		if attempt > 0 {
			backoff.Wait(context.Background(), backoff.Jitter(askPause))
			timeout = reportTimeout
		}
		err := c.askOnce(address, timeout)
		switch {
		case err == nil && ended:
			return
		case err == nil:
			first.peerAnswered()
			return
		case errors.Is(err, syscall.ECONNREFUSED) && !ended:
			ended = true
			first.peerEnded()
		}
	}
}

// askOnce asks a peer once. An error means that it has not answered.
func (c *Client) askOnce(address string, timeout time.Duration) error {
	question := &wirepb.Request{From: c.options.Node, Body: &wirepb.Request_ListEnds{ListEnds: &wirepb.ListEnds{Address: c.options.Address()}}}
	reply, err := c.do(context.Background(), address, question, timeout)
	if err != nil {
		return err
	}
	c.mergeRecorded(reply)
	return nil // a peer whose build does not know the message cannot be asked at all
}
