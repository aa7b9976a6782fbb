package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Faults are the fault switches; the zero value is a healthy platform.
type Faults struct {
	// Down refuses everything: nothing is applied.
	Down bool `json:"down"`
	// SlowMillis delays every answer by so many milliseconds. A commit whose
	// client goes away in the meantime still takes effect.
	SlowMillis int64 `json:"slow_millis"`
	// TransactionsPerSecond limits commits; 0 is no limit.
	TransactionsPerSecond float64 `json:"transactions_per_second"`
	// LoseReplyShare, 0 to 1, is the share of commits whose reply is lost.
	LoseReplyShare float64 `json:"lose_reply_share"`
	// LoseRepliesNext loses the replies of the next so many commits.
	LoseRepliesNext int `json:"lose_replies_next"`
	// LateApplyMillis, if above 0, makes half of the commits whose reply is
	// lost take effect only after a delay of up to so many milliseconds. Their
	// conditions are checked when they take effect.
	LateApplyMillis int64 `json:"late_apply_millis"`
	// Seed of the random choices above.
	Seed uint64 `json:"seed"`
}

// limiterBurst is how many transactions pass at once after a quiet time.
const limiterBurst = 10

// SetFaults replaces all fault switches and starts their random choices anew.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.random = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	p.limiter = nil
	if faults.TransactionsPerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(faults.TransactionsPerSecond), limiterBurst)
	}
}

// replyFate is what happens to the reply of a commit.
type replyFate struct {
	lost  bool
	delay time.Duration // until the write takes effect; only if lost
}

// admit decides on a commit when it arrives: refused, or how it is answered.
func (p *Platform) admit() (fate replyFate, slow time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return replyFate{}, 0, tablestore.ErrUnavailable
	}
	if p.limiter != nil && !p.limiter.Allow() {
		p.stats.Throttled++
		return replyFate{}, 0, tablestore.ErrThrottled
	}
	return p.drawFate(), p.slowness(), nil
}

// drawFate needs p.mu.
func (p *Platform) drawFate() replyFate {
	lost := p.random.Float64() < p.faults.LoseReplyShare
	if p.faults.LoseRepliesNext > 0 {
		p.faults.LoseRepliesNext--
		lost = true
	}
	if !lost {
		return replyFate{}
	}
	p.stats.LostReplies++
	fate := replyFate{lost: true}
	if p.faults.LateApplyMillis > 0 && p.random.IntN(2) == 0 {
		p.stats.LateApplies++
		fate.delay = time.Duration(1+p.random.Int64N(p.faults.LateApplyMillis)) * time.Millisecond
	}
	return fate
}

// slowness needs p.mu.
func (p *Platform) slowness() time.Duration {
	return time.Duration(p.faults.SlowMillis) * time.Millisecond
}

// admitRead refuses or delays a read or an object request.
func (p *Platform) admitRead(ctx context.Context) error {
	p.mu.Lock()
	down, slow := p.faults.Down, p.slowness()
	p.mu.Unlock()
	if down {
		return tablestore.ErrUnavailable
	}
	if slow == 0 {
		return nil
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return tablestore.ErrUnavailable
	}
}
