package zonefeed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// mostAsked is how many processes one search asks: those that fit its time.
const mostAsked = askedAtOnce * int(catchUpTime/widenAfter)

// search is one search for a process that knows a newer version of a table. Its goroutine only.
type search struct {
	feed     *Feed
	client   asker
	question *wirepb.FollowTable

	asked   map[string]bool
	pending int // of the asked, without an answer
	silent  int // questions that failed since more processes were asked last
	replies chan versionReply
	best    versionReply // the nearest that knows a newer version; none if its version is 0
	failure error        // of the last that failed; nil if the last answered
}

// versionReply is what came of one question.
type versionReply struct {
	address string
	place   int // in the order in which processes were asked
	version uint64
	err     error
}

// askMore asks some processes that were not asked before.
func (s *search) askMore(ctx context.Context) {
	if s.asked == nil {
		s.asked = make(map[string]bool)
		s.replies = make(chan versionReply, mostAsked+askedAtOnce)
	}
	if len(s.asked) >= mostAsked {
		return
	}
	s.feed.mutex.Lock()
	next := s.feed.around.next(s.asked, time.Now())
	s.feed.mutex.Unlock()
	for _, address := range next {
		place := len(s.asked)
		s.asked[address] = true
		s.pending++
		go func() { s.replies <- s.ask(ctx, address, place) }()
	}
}

// ask asks one process which version it knows.
func (s *search) ask(ctx context.Context, address string, place int) versionReply {
	told, err := s.feed.askAsKnown(ctx, s.client, address, s.question)
	answered := err == nil || errors.Is(err, errDeclined)
	if answered || !errors.Is(ctx.Err(), context.Canceled) { // the search has not ended before
		s.feed.mutex.Lock()
		s.feed.around.heard(address, answered, time.Now())
		s.feed.mutex.Unlock()
	}
	return versionReply{address: address, place: place, version: told.version, err: err}
}

// took takes a reply in, and reports whether any newer version is known.
func (s *search) took(got versionReply) bool {
	s.pending--
	s.failure = errors.CombineErrors(got.err, s.failure)
	if got.err != nil {
		if !errors.Is(got.err, errDeclined) {
			s.silent++
		}
		return s.best.version > 0
	}
	s.feed.noteNewest(s.question.GetTable(), got.version)
	if got.version > s.question.GetAfter() && (s.best.version == 0 || got.place < s.best.place) {
		s.best = got
	}
	return s.best.version > 0
}

// goesOn reports whether there is anything to wait for, and asks more if all have answered in vain and some of them
// could not be asked.
func (s *search) goesOn(ctx context.Context) bool {
	if s.best.version > 0 && s.best.place == 0 {
		return false // nobody is nearer
	}
	if s.pending == 0 && s.best.version == 0 && s.silent > 0 && ctx.Err() == nil {
		s.silent = 0
		s.askMore(ctx)
	}
	return s.pending > 0
}
