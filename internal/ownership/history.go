package ownership

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/program"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// callPageRows is the number of call rows that one range read returns.
const callPageRows = 200

// appendHistory adds a recorded call's messages to the conversation, if it is in memory.
func (e *entry) appendHistory(messages []api.Message) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.history == nil || len(messages) == 0 {
		return
	}
	e.history = e.history.With(messages...)
}

// prompt returns the whole history followed by the request's new messages.
func (p *Programs) prompt(ctx context.Context, e *entry, delta []api.Message) (*backend.Prompt, error) {
	e.mutex.Lock()
	history := e.history
	id, next, tenant := e.id, e.header.NextSequence, e.header.Tenant
	e.mutex.Unlock()
	if history == nil {
		loaded, err := p.readHistory(ctx, id, tenant, next)
		if err != nil {
			return nil, err
		}
		e.mutex.Lock()
		e.history = loaded
		e.mutex.Unlock()
		history = loaded
	}
	return history.With(delta...), nil
}

// readHistory reads every final call of the program and checks that none is
// missing and that each belongs to the program.
func (p *Programs) readHistory(ctx context.Context, id, tenant string, next int64) (*backend.Prompt, error) {
	var messages []api.Message
	for sequence := int64(1); sequence < next; {
		last := min(next, sequence+callPageRows)
		rows, err := tablestore.ReadAll(ctx, p.Store, program.CallKey(id, sequence), program.CallKey(id, last), callPageRows)
		if err != nil {
			return nil, p.storeError(err)
		}
		if int64(len(rows)) != last-sequence {
			return nil, api.Errorf(api.Internal, "history of %s has %d of %d calls", id, len(rows), last-sequence)
		}
		for _, row := range rows {
			segment, err := p.segment(ctx, row.Value, id, tenant, sequence)
			if err != nil {
				return nil, err
			}
			messages = append(messages, segment.Messages...)
			sequence++
		}
	}
	return backend.NewPrompt(messages...), nil
}

// segment decodes one call row, reads its content from the object store if it is
// stored there, and checks that it is the given call of the given program and tenant.
func (p *Programs) segment(ctx context.Context, encoded []byte, id, tenant string, sequence int64) (*program.Segment, error) {
	row, err := p.fullRow(ctx, encoded)
	if err != nil {
		return nil, err
	}
	if row.Program != id || row.Tenant != tenant || row.Sequence != sequence {
		return nil, api.Errorf(api.Internal, "call row of %s/%d belongs to %s/%d", id, sequence, row.Program, row.Sequence)
	}
	return row.Segment, nil
}

func (p *Programs) fullRow(ctx context.Context, encoded []byte) (program.CallRow, error) {
	row, err := program.DecodeCall(encoded)
	if err != nil {
		return row, api.Errorf(api.Internal, "call row cannot be read: %v", err)
	}
	if row.Segment != nil {
		return row, nil
	}
	content, err := p.Store.GetObject(ctx, row.SegmentObject)
	if err != nil {
		return row, p.storeError(err)
	}
	full, err := program.DecodeCall(content)
	if err != nil || full.Segment == nil {
		return row, api.Errorf(api.Internal, "call object cannot be read: %v", err)
	}
	if full.Program != row.Program || full.Sequence != row.Sequence || full.Tenant != row.Tenant {
		return row, api.Errorf(api.Internal, "call object belongs to another call")
	}
	return full, nil
}

// errNoCall reports that the call has no row.
var errNoCall = errors.New("no such call")

// readCall reads one final call.
func (p *Programs) readCall(ctx context.Context, id string, sequence int64) (program.CallRow, error) {
	row, err := p.Store.Get(ctx, program.CallKey(id, sequence))
	if err != nil {
		return program.CallRow{}, p.storeError(err)
	}
	if row.Revision == 0 {
		return program.CallRow{}, errNoCall
	}
	return p.fullRow(ctx, row.Value)
}

// replay returns the stored result of a final call.
func (p *Programs) replay(ctx context.Context, e *entry, sequence int64, digest string, onPart func(offset int64, text []byte)) (api.CallResult, error) {
	row, err := p.readCall(ctx, e.id, sequence)
	if errors.Is(err, errNoCall) {
		return api.CallResult{}, api.Errorf(api.Internal, "call %d is final but has no row", sequence)
	}
	if err != nil {
		return api.CallResult{}, err
	}
	if row.RequestDigest != digest {
		return api.CallResult{}, conflictError(sequence, row.Attempted)
	}
	result := row.Segment.Result
	if onPart != nil && result.Output != "" {
		onPart(0, []byte(result.Output))
	}
	return result, nil
}
