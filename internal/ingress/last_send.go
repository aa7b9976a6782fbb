package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/poison"
)

// reportLastSend presumes that the engine ends, and reports that, before the request is sent to the last engine that it may
// end. If this node is lost together with the engine, no other engine gets the request. recordEnd ends the check. It is called
// once there is a connection, since engines that cannot be reached run nothing.
func (t *attempt) reportLastSend() {
	r, memory := t.request, t.request.handler.options.EndedEngines
	if memory.Empty() || !t.presumeLastEnds() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, maxReportWait)
	defer cancel()
	if memory.Share(r.poisonKey()) && !r.handler.options.EndReporter.ReportLastSend(ctx, r.poisonKey()) {
		r.unconfirmed.Store(true)
	}
}

// presumeLastEnds presumes that the attempt's engine ends, and those of the request's other sends in progress, if no further engine may get
// the request then. It reports whether it did.
func (t *attempt) presumeLastEnds() bool {
	r := t.request
	r.sendsMutex.Lock()
	defer r.sendsMutex.Unlock()
	ended := r.handler.options.EndedEngines.StandingOf(r.poisonKey(), time.Now()).Ended
	if t.lastSend != nil || ended+len(r.sends)-1 < poison.MaxEngines-1 {
		return false
	}
	for _, send := range r.sends {
		send.presumeEnd()
	}
	return true
}

// presumeEnd presumes that the attempt's engine ends. The request's sendsMutex is held.
func (t *attempt) presumeEnd() {
	if t.lastSend != nil {
		return
	}
	r := t.request
	t.lastSend = r.handler.options.EndedEngines.BeginCheck(r.poisonKey(), t.placed.Engine.ID, time.Now())
	t.lastSend.Presume(poison.End{Engine: t.placed.Engine.ID, Try: r.call.ID, SentAt: t.startedAt, EndedAt: t.startedAt})
}

// addSend adds an attempt to the request's sends in progress.
func (r *request) addSend(current *attempt) {
	r.sendsMutex.Lock()
	defer r.sendsMutex.Unlock()
	r.sends = append(r.sends, current)
}

// removeSend removes an attempt from the request's sends in progress. Its end is not presumed from then on unless it is already.
func (r *request) removeSend(ended *attempt) {
	r.sendsMutex.Lock()
	defer r.sendsMutex.Unlock()
	r.sends = slices.DeleteFunc(r.sends, func(send *attempt) bool { return send == ended })
}

// endPresumed reports whether the attempt's engine is presumed to end; see reportLastSend.
func (t *attempt) endPresumed() bool {
	t.request.sendsMutex.Lock()
	defer t.request.sendsMutex.Unlock()
	return t.lastSend != nil
}

// checkLastSend returns why the request must not be sent to the last engine that it may end; nil if it may be. It is called once the
// presumed end has been reported, and the peers that confirmed that have told what they know. Either the engine is left to another
// request under which as many engines ended: both were placed there before either node knew of the other one's, and at least one of two
// nodes that confirm each other's reports knows of both requests. Or another engine has ended, or is presumed to, under an earlier send
// of this request at another node, whose report had not arrived. Or nobody else knows of the send: if this node is lost with the engine,
// the next node would take it for the second to last one.
func (t *attempt) checkLastSend() error {
	switch r := t.request; {
	case !t.endPresumed():
		return nil
	case slices.Contains(r.enginesOfRivals(), t.placed.Engine.ID):
		return errLeftToRival
	case r.handler.options.EndedEngines.SettledBefore(r.poisonKey(), t.startedAt) >= poison.MaxEngines:
		return errEnginesEnded
	case r.unconfirmed.Load():
		return errUnconfirmed
	}
	return nil
}
