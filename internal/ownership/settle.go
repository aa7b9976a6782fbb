package ownership

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxInlineBytes is the maximum size of a segment in a table row; larger
// segments are first written to the object store.
const maxInlineBytes = 16 << 10

// recordResult makes the result, the history segment, the settled cost and the
// next sequence number durable in one transaction. While the table service is
// down it retries, and waiting callers get an error that the outcome is not
// recorded yet.
func (p *Programs) recordResult(e *entry, f *flight, planned plan, outcome Outcome) (api.CallResult, error) {
	pause := minRecordPause
	pending := recordPendingError()
	overdue := time.AfterFunc(storeTimeout, func() { f.setPendingRecord(pending) })
	defer overdue.Stop()
	for {
		result, err := p.settle(e, f, planned, outcome)
		if err == nil {
			return result, nil
		}
		if !isTransient(err) {
			return api.CallResult{}, ownerChangedError()
		}
		f.setPendingRecord(pending)
		if !backoff.Wait(p.closing, backoff.Jitter(pause)) {
			return api.CallResult{}, pending
		}
		pause = min(2*pause, maxRecordPause)
	}
}

// isTransient reports whether another attempt may record the result.
func isTransient(err error) bool {
	refusal, ok := err.(*api.Error)
	return ok && refusal.Code == api.StoreDown
}

// recordPendingError returns the error for callers while the result of a call that ran waits for the table.
func recordPendingError() *api.Error {
	pending := api.Errorf(api.StoreDown, "the call ran; its result is recorded once the table service responds").WithRetryAfter(storeRetryAfter)
	pending.Execution = api.Unknown
	return pending
}

// ownerChangedError returns the error for a call whose program was taken over
// while it ran. The new owner decides on the call's outcome.
func ownerChangedError() *api.Error {
	moved := api.Errorf(api.OwnerMoving, "another node took the program over while the call ran").WithRetryAfter(movingRetryAfter)
	moved.Execution = api.Unknown
	return moved
}

// settle makes one attempt to record the outcome.
func (p *Programs) settle(e *entry, f *flight, planned plan, outcome Outcome) (api.CallResult, error) {
	if err := e.lock(p.closing); err != nil {
		return api.CallResult{}, ownerChangedError()
	}
	defer e.unlock()
	result, err := p.settleLocked(e, f, planned, outcome)
	if err != nil && !isTransient(err) {
		f.unrecorded.Store(true) // before another request loads the row again
	}
	return result, err
}

// settleLocked is settle with the commit lock held.
func (p *Programs) settleLocked(e *entry, f *flight, planned plan, outcome Outcome) (api.CallResult, error) {
	header, owned := e.snapshot()
	if !owned || header.NextSequence != f.sequence {
		// Another owner may have made the call final before this node claimed the program back: the
		// result that it returned stays.
		return api.CallResult{}, ownerChangedError()
	}
	result := p.resultOf(header, f, planned, outcome)
	settled := p.headerAfter(header, f, planned, outcome, result)
	segment := program.Segment{Result: result}
	if planned.model != nil && outcome.Code == api.OK {
		segment.Messages = append(append([]api.Message(nil), f.request.Messages...), api.Message{Role: "assistant", Content: outcome.Text})
	}
	row, err := p.callRow(header, f, segment)
	if err != nil {
		return api.CallResult{}, p.storeError(err)
	}
	write := tablestore.Write{Key: program.CallKey(header.ID, f.sequence), Value: program.EncodeCall(row)}
	if err := p.write(p.closing, e, settled, write); err != nil {
		return api.CallResult{}, err
	}
	e.appendHistory(segment.Messages)
	if planned.model != nil {
		p.meterCall(header, outcome.Usage)
	}
	p.recordFinished(settled, f, result)
	return result, nil
}

// resultOf returns the result for the caller. An outcome that cannot be
// established is charged in full, since the back end may bill it.
func (p *Programs) resultOf(header program.Header, f *flight, planned plan, outcome Outcome) api.CallResult {
	result := api.CallResult{
		Program:   header.ID,
		Sequence:  f.sequence,
		Code:      outcome.Code,
		Execution: outcome.Code.Info().Execution,
		Output:    outcome.Text,
		Result:    compact(outcome.Result),
		Detail:    outcome.Detail,
		Usage:     outcome.Usage,
		Backend:   outcome.Backend,
		Cost:      planned.call.MaxCost,
	}
	if outcome.Unbilled {
		result.Cost = 0
	}
	if planned.model != nil && outcome.Code == api.OK {
		result.Cost = min(billedCost(planned.model, outcome.Usage), planned.call.MaxCost)
	}
	result.Digest = digestOf([]byte(result.Output))
	if planned.tool != nil {
		result.Digest = digestOf(result.Result)
	}
	return result
}

// compact removes the white space that encoding the result into a response would
// remove, so that the digest matches what the caller receives.
func compact(result json.RawMessage) json.RawMessage {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, result); err != nil {
		return result
	}
	return buffer.Bytes()
}

// headerAfter returns the header after the call.
func (p *Programs) headerAfter(header program.Header, f *flight, planned plan, outcome Outcome, result api.CallResult) program.Header {
	callOutcome := program.Outcome{
		Sequence: f.sequence,
		Cost:     result.Cost,
		Tokens:   outcome.Usage.PromptTokens + outcome.Usage.CompletionTokens,
		Backend:  outcome.Engine,
	}
	var nextReservation api.Credits
	if planned.model != nil && outcome.Code == api.OK {
		length := outcome.Usage.PromptTokens + outcome.Usage.CompletionTokens
		callOutcome.HistoryTokens = length - header.HistoryTokens
		nextReservation = maxModelCost(planned.model, length+nextDeltaTokens, planned.call.MaxTokens)
	} else {
		nextReservation = header.Reserved
	}
	return program.Settle(header, callOutcome, nextReservation)
}

// callRow builds the durable row; a large segment is written to the object store.
func (p *Programs) callRow(header program.Header, f *flight, segment program.Segment) (program.CallRow, error) {
	row := program.CallRow{
		Program:       header.ID,
		Tenant:        header.Tenant,
		Sequence:      f.sequence,
		RequestDigest: f.digest,
		Segment:       &segment,
		Attempted:     header.WasAttempted(f.sequence),
	}
	encoded := program.EncodeCall(row)
	if len(encoded) <= maxInlineBytes {
		return row, nil
	}
	digest, err := p.Store.PutObject(p.closing, encoded)
	if err != nil {
		return row, err
	}
	row.Segment = nil
	row.SegmentObject = digest
	return row, nil
}
