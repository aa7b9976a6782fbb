package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Faults are the fault switches; the zero value has none on.
type Faults struct {
	// Down refuses everything: nothing is applied.
	Down bool `json:"down"`
	// SlowMillis delays every answer by this many milliseconds. A commit whose
	// client disconnects during the delay is still applied.
	SlowMillis int64 `json:"slow_millis"`
	// TransactionsPerSecond limits the rate of commits; 0 means no limit.
	TransactionsPerSecond float64 `json:"transactions_per_second"`
	// LoseReplyShare, 0 to 1, is the share of commits whose reply is lost.
	LoseReplyShare float64 `json:"lose_reply_share"`
	// LoseRepliesNext is the number of commits from now on whose replies are lost.
	LoseRepliesNext int `json:"lose_replies_next"`
	// LateApplyMillis, if above 0, delays half of the commits whose reply is
	// lost by up to this many milliseconds. Their conditions are checked when
	// they are applied.
	LateApplyMillis int64 `json:"late_apply_millis"`
	// Seed seeds the random choices above.
	Seed uint64 `json:"seed"`
}

// limiterBurst is how many commits pass at once after an idle period.
const limiterBurst = 10

// SetFaults replaces all fault switches and reseeds their random choices.
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

// replyOutcome is whether the reply of a commit is lost.
type replyOutcome struct {
	lost       bool
	applyDelay time.Duration // until the write is applied; only if lost
}

// admit decides on arrival of a commit whether it is refused, and if not, how it is answered.
func (p *Platform) admit() (reply replyOutcome, latency time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return replyOutcome{}, 0, tablestore.ErrUnavailable
	}
	if p.limiter != nil && !p.limiter.Allow() {
		p.stats.Throttled++
		return replyOutcome{}, 0, tablestore.ErrThrottled
	}
	return p.drawReplyOutcome(), p.addedLatency(), nil
}

// drawReplyOutcome draws the outcome of the next commit. The caller holds p.mu.
func (p *Platform) drawReplyOutcome() replyOutcome {
	lost := p.random.Float64() < p.faults.LoseReplyShare
	if p.faults.LoseRepliesNext > 0 {
		p.faults.LoseRepliesNext--
		lost = true
	}
	if !lost {
		return replyOutcome{}
	}
	p.stats.LostReplies++
	reply := replyOutcome{lost: true}
	if p.faults.LateApplyMillis > 0 && p.random.IntN(2) == 0 {
		p.stats.LateApplies++
		reply.applyDelay = time.Duration(1+p.random.Int64N(p.faults.LateApplyMillis)) * time.Millisecond
	}
	return reply
}

// addedLatency returns the delay set by the SlowMillis fault. The caller holds p.mu.
func (p *Platform) addedLatency() time.Duration {
	return time.Duration(p.faults.SlowMillis) * time.Millisecond
}

// admitRead refuses or delays a read or an object request.
func (p *Platform) admitRead(ctx context.Context) error {
	p.mu.Lock()
	down, latency := p.faults.Down, p.addedLatency()
	p.mu.Unlock()
	if down {
		return tablestore.ErrUnavailable
	}
	if latency == 0 {
		return nil
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return tablestore.ErrUnavailable
	}
}
