package quota

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits on the values that are accepted from a peer.
const (
	maxRequestedTokens = 1 << 16
	maxRate            = 1e9 // requests per second; also the maximum burst
	maxAgeMillis       = 1 << 30
)

// Answer answers a peer's request for a tenant's tokens.
func (c *Client) Answer(message *wirepb.AskRequests) *wirepb.Reply {
	c.noteRequestFromPeer()
	request, err := decodeRequest(message)
	if err != nil {
		return errorReply(api.MalformedRequest, err.Error())
	}
	grant, held := c.requestFromHoldings(message.GetTenant(), request)
	if !held {
		return errorReply(api.NotReady, errNotHolder.Error())
	}
	body, err := proto.Marshal(encodeGrant(grant))
	if err != nil {
		return errorReply(api.Internal, err.Error())
	}
	return &wirepb.Reply{Body: body}
}

// ceilMillis returns the duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

func errorReply(code api.Code, detail string) *wirepb.Reply {
	return &wirepb.Reply{Code: int32(code), Execution: string(api.NotRun), Detail: detail}
}

func encodeRequest(node, tenant string, request Request) *wirepb.Request {
	return &wirepb.Request{From: node, Body: &wirepb.Request_AskRequests{AskRequests: &wirepb.AskRequests{
		Tenant:  tenant,
		Rate:    request.Limit.Rate,
		Burst:   request.Limit.Burst,
		Version: request.Limit.Version,
		Needed:  uint32(request.Needed),
		Begins:  uint32(request.NewPrograms),
		Ahead:   uint32(request.Prefetch),
		Unasked: uint32(request.AdmittedLocally),
		Refused: uint32(request.RejectedPrograms),
		Unused:  uint32(request.Unused),

		UnusedAgeMillis: uint32(min(maxAgeMillis, ceilMillis(request.UnusedAge))),
		Term:            request.Term,
	}}}
}

// decodeRequest decodes a peer's request. The error describes what is invalid.
func decodeRequest(message *wirepb.AskRequests) (Request, error) {
	limit := Limit{Rate: message.GetRate(), Burst: message.GetBurst(), Version: message.GetVersion()}
	if message.GetTenant() == "" {
		return Request{}, errors.New("no tenant") // a probe
	}
	if !(limit.Rate >= 0 && limit.Rate <= maxRate) || !(limit.Burst >= 0 && limit.Burst <= maxRate) {
		return Request{}, errors.Newf("limit out of range: %v requests per second and a burst of %v", limit.Rate, limit.Burst)
	}
	counts := []uint32{message.GetNeeded(), message.GetBegins(), message.GetAhead(), message.GetUnasked(), message.GetRefused(), message.GetUnused()}
	for _, count := range counts {
		if count > maxRequestedTokens {
			return Request{}, errors.Newf("count out of range: %d requests", count)
		}
	}
	return Request{
		Limit:            limit,
		Needed:           int(message.GetNeeded()),
		NewPrograms:      int(message.GetBegins()),
		Prefetch:         int(message.GetAhead()),
		AdmittedLocally:  int(message.GetUnasked()),
		RejectedPrograms: int(message.GetRefused()),
		Unused:           int(message.GetUnused()),
		Term:             message.GetTerm(),

		UnusedAge: time.Duration(message.GetUnusedAgeMillis()) * time.Millisecond,
	}, nil
}

func encodeGrant(grant Grant) *wirepb.RequestsGranted {
	return &wirepb.RequestsGranted{
		Tokens:      uint32(grant.Tokens),
		Begins:      uint32(grant.NewPrograms),
		PauseMillis: uint32(grant.Pause.Milliseconds()),

		BeginPauseMillis: uint32(grant.NewProgramPause.Milliseconds()),
		BeginWaitMillis:  uint32(grant.NewProgramRetryAfter.Milliseconds()),
		WaitMillis:       uint32(grant.RetryAfter.Milliseconds()),
		Term:             grant.Term,
		Left:             int64(grant.Remaining),
	}
}

// decodeGrant decodes a holder's answer. An answer that grants more than was requested, or that
// would block the tenant for too long, is invalid.
func decodeGrant(message *wirepb.RequestsGranted, request Request) (Grant, error) {
	grant := Grant{
		Tokens:      int(min(message.GetTokens(), math.MaxInt32)),
		NewPrograms: int(min(message.GetBegins(), math.MaxInt32)),
		Pause:       time.Duration(message.GetPauseMillis()) * time.Millisecond,
		RetryAfter:  time.Duration(message.GetWaitMillis()) * time.Millisecond,

		NewProgramPause:      time.Duration(message.GetBeginPauseMillis()) * time.Millisecond,
		NewProgramRetryAfter: time.Duration(message.GetBeginWaitMillis()) * time.Millisecond,
		Term:                 message.GetTerm(),
		Remaining:            int(message.GetLeft()),
	}
	if grant.Tokens > request.Needed+request.Prefetch || grant.NewPrograms > request.NewPrograms {
		return Grant{}, errors.Newf("grant exceeds the request: %d tokens and %d programs for %d and %d", grant.Tokens, grant.NewPrograms, request.Needed+request.Prefetch, request.NewPrograms)
	}
	if max(grant.Pause, grant.NewProgramPause, grant.RetryAfter, grant.NewProgramRetryAfter) > maxRetryAfter {
		return Grant{}, errors.Newf("grant too long: pauses of %v and %v, a retry time of %v", grant.Pause, grant.NewProgramPause, grant.RetryAfter)
	}
	return grant, nil
}
