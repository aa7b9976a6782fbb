package zonefeed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxQueries is how many processes one search queries: those that fit into its time.
const maxQueries = queriesAtOnce * int(catchUpTime/widenAfter)

// search is one search for a process that has a newer version of a table. Used by one goroutine.
type search struct {
	feed   *Feed
	client peerClient
	query  *wirepb.FollowTable

	queried    map[string]bool
	pending    int // queries without an answer
	unanswered int // queries that failed since the last call of queryMore
	replies    chan versionReply
	best       versionReply // the nearest that has a newer version; none if its version is 0
	failure    error        // of the last query that failed, combined with the earlier ones
}

// versionReply is the result of one query.
type versionReply struct {
	address string
	order   int // position in the order in which processes were queried
	version uint64
	err     error
}

// queryMore queries some processes that were not queried before.
func (s *search) queryMore(ctx context.Context) {
	if s.queried == nil {
		s.queried = make(map[string]bool)
		s.replies = make(chan versionReply, maxQueries+queriesAtOnce)
	}
	if len(s.queried) >= maxQueries {
		return
	}
	s.feed.mutex.Lock()
	next := s.feed.fallbackPeers.next(s.queried, time.Now())
	s.feed.mutex.Unlock()
	for _, address := range next {
		order := len(s.queried)
		s.queried[address] = true
		s.pending++
		go func() { s.replies <- s.queryVersion(ctx, address, order) }()
	}
}

// queryVersion queries one process for its version.
func (s *search) queryVersion(ctx context.Context, address string, order int) versionReply {
	answer, err := s.feed.queryPeer(ctx, s.client, address, s.query)
	answered := err == nil || errors.Is(err, errDeclined)
	if answered || !errors.Is(ctx.Err(), context.Canceled) { // the search was not cancelled before the query ended
		s.feed.mutex.Lock()
		s.feed.fallbackPeers.recordReply(address, answered, time.Now())
		s.feed.mutex.Unlock()
	}
	return versionReply{address: address, order: order, version: answer.version, err: err}
}

// recordReply records a reply, and reports whether any newer version was found.
func (s *search) recordReply(reply versionReply) bool {
	s.pending--
	s.failure = errors.CombineErrors(reply.err, s.failure)
	if reply.err != nil {
		if !errors.Is(reply.err, errDeclined) {
			s.unanswered++
		}
		return s.best.version > 0
	}
	s.feed.recordNewest(s.query.GetTable(), reply.version)
	if reply.version > s.query.GetAfter() && (s.best.version == 0 || reply.order < s.best.order) {
		s.best = reply
	}
	return s.best.version > 0
}

// awaitsReplies reports whether replies are pending that may improve the result. It queries more processes if no reply
// had a newer version and some queries failed.
func (s *search) awaitsReplies(ctx context.Context) bool {
	if s.best.version > 0 && s.best.order == 0 {
		return false // no process is nearer
	}
	if s.pending == 0 && s.best.version == 0 && s.unanswered > 0 && ctx.Err() == nil {
		s.unanswered = 0
		s.queryMore(ctx)
	}
	return s.pending > 0
}
