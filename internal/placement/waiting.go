package placement

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// await waits for the core's decision about a call.
func (p *Placer) await(ctx context.Context, call scheduler.Call, waiter chan coreReply) (scheduler.Assignment, *api.Error) {
	select {
	case reply := <-waiter:
		return reply.assignment, reply.refusal
	default:
	}
	ticker := time.NewTicker(recheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case reply := <-waiter:
			return reply.assignment, reply.refusal
		case <-ctx.Done():
			return p.withdraw(call, waiter)
		case <-ticker.C:
			p.mutex.Lock()
			p.advance(time.Now())
			p.mutex.Unlock()
		}
	}
}

// withdraw removes a call from the queue, unless the core has decided in the meantime.
func (p *Placer) withdraw(call scheduler.Call, waiter chan coreReply) (scheduler.Assignment, *api.Error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, queued := p.waiting[call.ID]; !queued {
		reply := <-waiter
		return reply.assignment, reply.refusal
	}
	delete(p.waiting, call.ID)
	p.core.Withdraw(call.ID, time.Now())
	return scheduler.Assignment{}, api.Errorf(api.Overloaded,
		"every engine of service %s is full", call.Model).WithRetryAfter(recheckPeriod * 10)
}

// advance runs a scheduling pass and delivers its decisions. The mutex is held.
func (p *Placer) advance(now time.Time) {
	p.coreTime = now
	assignments, refusals := p.core.Schedule(now)
	for _, assignment := range assignments {
		p.deliver(assignment.Call.ID, coreReply{assignment: assignment})
	}
	for _, refusal := range refusals {
		p.deliver(refusal.Call.ID, coreReply{refusal: refusal.Error})
	}
}

// deliver passes a decision to the goroutine that waits for it.
func (p *Placer) deliver(callID string, reply coreReply) {
	waiter := p.waiting[callID]
	delete(p.waiting, callID)
	if waiter != nil {
		waiter <- reply
	}
}
