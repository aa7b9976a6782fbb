package owners

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// errExcluded is why a node gets no request.
var errExcluded = errors.New("no node of its zone responds")

// Recall implements ledger.Owners.
func (c *Client) Recall(ctx context.Context, address, runID, program string) (bool, error) {
	var recalled wirepb.TokensRecalled
	err := c.ask(ctx, address, &wirepb.Request{From: c.node, Body: &wirepb.Request_RecallTokens{
		RecallTokens: &wirepb.RecallTokens{Program: program, Run: runID},
	}}, &recalled)
	if err != nil {
		return false, errors.Wrap(err, "recall")
	}
	return recalled.GetRunEnded(), nil
}

// Recall returns the unused part of this node's allowance for a program. Turns that were
// settled while they wait for the table still hold their tokens, so it waits for them first.
func (s *Server) Recall(ctx context.Context, request *wirepb.RecallTokens) *wirepb.Reply {
	for _, done := range s.settledBeforeReserved(request.GetProgram()) {
		select {
		case <-done:
		case <-ctx.Done():
			return refusal(api.StoreDown, "an abandoned turn waits for the table")
		}
	}
	// The write continues if the requester cancels: begun again for the next request it would take a slow table's time twice.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleWriteTimeout)
	defer cancel()
	runEnded, err := s.ledger.ReturnUnused(ctx, request.GetProgram(), request.GetRun())
	if err != nil {
		return refusal(api.StoreDown, err.Error())
	}
	return replyWith(&wirepb.TokensRecalled{RunEnded: runEnded})
}

// settledBeforeReserved returns the done channels of a program's grants that were settled
// before their reservations were made.
func (s *Server) settledBeforeReserved(program string) []chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var channels []chan struct{}
	for _, held := range s.grants {
		if held.turn == nil && held.settledTokens != nil && held.conversation.Program == program {
			channels = append(channels, held.done)
		}
	}
	return channels
}
