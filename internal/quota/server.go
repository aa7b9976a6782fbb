package quota

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of what is believed of a peer.
const (
	maxAskedTokens = 1 << 16
	maxRate        = 1e9 // requests a second, and of a burst
	maxAgeMillis   = 1 << 30
)

// Answer answers a peer that asks for a tenant's tokens.
func (c *Client) Answer(asked *wirepb.AskRequests) *wirepb.Reply {
	c.askedByPeer()
	ask, err := decodeAsk(asked)
	if err != nil {
		return refusal(api.MalformedRequest, err.Error())
	}
	grant, held := c.askHoldings(asked.GetTenant(), ask)
	if !held {
		return refusal(api.NotReady, errNotHolder.Error())
	}
	body, err := proto.Marshal(encodeGrant(grant))
	if err != nil {
		return refusal(api.Internal, err.Error())
	}
	return &wirepb.Reply{Body: body}
}

// millisUp returns whole milliseconds, rounded up.
func millisUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

func refusal(code api.Code, detail string) *wirepb.Reply {
	return &wirepb.Reply{Code: int32(code), Execution: string(api.NotRun), Detail: detail}
}

func encodeAsk(node, tenant string, ask Ask) *wirepb.Request {
	return &wirepb.Request{From: node, Body: &wirepb.Request_AskRequests{AskRequests: &wirepb.AskRequests{
		Tenant:  tenant,
		Rate:    ask.Limit.Rate,
		Burst:   ask.Limit.Burst,
		Version: ask.Limit.Version,
		Needed:  uint32(ask.Needed),
		Begins:  uint32(ask.Begins),
		Ahead:   uint32(ask.Ahead),
		Unasked: uint32(ask.Unasked),
		Refused: uint32(ask.Refused),
		Unused:  uint32(ask.Unused),

		UnusedAgeMillis: uint32(min(maxAgeMillis, millisUp(ask.UnusedAge))),
		Term:            ask.Term,
	}}}
}

// decodeAsk reads a peer's question. The error says what makes no sense.
func decodeAsk(asked *wirepb.AskRequests) (Ask, error) {
	limit := Limit{Rate: asked.GetRate(), Burst: asked.GetBurst(), Version: asked.GetVersion()}
	if asked.GetTenant() == "" {
		return Ask{}, errors.New("no tenant") // a probe
	}
	if !(limit.Rate >= 0 && limit.Rate <= maxRate) || !(limit.Burst >= 0 && limit.Burst <= maxRate) {
		return Ask{}, errors.Newf("limit of %v requests a second and a burst of %v", limit.Rate, limit.Burst)
	}
	counts := []uint32{asked.GetNeeded(), asked.GetBegins(), asked.GetAhead(), asked.GetUnasked(), asked.GetRefused(), asked.GetUnused()}
	for _, count := range counts {
		if count > maxAskedTokens {
			return Ask{}, errors.Newf("a count of %d requests", count)
		}
	}
	return Ask{
		Limit:   limit,
		Needed:  int(asked.GetNeeded()),
		Begins:  int(asked.GetBegins()),
		Ahead:   int(asked.GetAhead()),
		Unasked: int(asked.GetUnasked()),
		Refused: int(asked.GetRefused()),
		Unused:  int(asked.GetUnused()),
		Term:    asked.GetTerm(),

		UnusedAge: time.Duration(asked.GetUnusedAgeMillis()) * time.Millisecond,
	}, nil
}

func encodeGrant(grant Grant) *wirepb.RequestsGranted {
	return &wirepb.RequestsGranted{
		Tokens:      uint32(grant.Tokens),
		Begins:      uint32(grant.Begins),
		PauseMillis: uint32(grant.Pause.Milliseconds()),

		BeginPauseMillis: uint32(grant.BeginPause.Milliseconds()),
		BeginWaitMillis:  uint32(grant.BeginWait.Milliseconds()),
		WaitMillis:       uint32(grant.Wait.Milliseconds()),
		Term:             grant.Term,
		Left:             int64(grant.Left),
	}
}

// decodeGrant reads a holder's answer. One that grants more than was asked for, or would
// silence the tenant for long, makes no sense.
func decodeGrant(granted *wirepb.RequestsGranted, ask Ask) (Grant, error) {
	grant := Grant{
		Tokens: int(min(granted.GetTokens(), math.MaxInt32)),
		Begins: int(min(granted.GetBegins(), math.MaxInt32)),
		Pause:  time.Duration(granted.GetPauseMillis()) * time.Millisecond,
		Wait:   time.Duration(granted.GetWaitMillis()) * time.Millisecond,

		BeginPause: time.Duration(granted.GetBeginPauseMillis()) * time.Millisecond,
		BeginWait:  time.Duration(granted.GetBeginWaitMillis()) * time.Millisecond,
		Term:       granted.GetTerm(),
		Left:       int(granted.GetLeft()),
	}
	if grant.Tokens > ask.Needed+ask.Ahead || grant.Begins > ask.Begins {
		return Grant{}, errors.Newf("%d tokens and %d programs, asked were %d and %d", grant.Tokens, grant.Begins, ask.Needed+ask.Ahead, ask.Begins)
	}
	if max(grant.Pause, grant.BeginPause, grant.Wait, grant.BeginWait) > maxWait {
		return Grant{}, errors.Newf("pauses of %v and %v, a wait of %v", grant.Pause, grant.BeginPause, grant.Wait)
	}
	return grant, nil
}
