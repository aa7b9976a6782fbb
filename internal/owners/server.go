package owners

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Time limits of grants.
const (
	// grantLifetime is the time after which a grant that was not settled counts as
	// spent in full. It is longer than any turn lasts.
	grantLifetime = 30 * time.Second
	// expiryPeriod is the minimum time between two scans for expired grants; new grants trigger them.
	expiryPeriod = time.Second
	// settleWriteTimeout bounds the write that a settlement may need.
	settleWriteTimeout = 2 * time.Second
	// reserveWriteTimeout bounds the write that a reservation may need. The write continues if the
	// requester cancels: stopped and begun again for the next requester it would take a slow table's
	// time twice, and its reservation is there for the turn when the client retries.
	reserveWriteTimeout = 2 * time.Second
)

// reserver reserves tokens for turns of other nodes. *ledger.Ledger implements it.
type reserver interface {
	ReserveForPeer(ctx context.Context, turn ledger.TurnRequest, keepAlive func()) (*ledger.RunningTurn, error)
	ReturnUnused(ctx context.Context, program, runID string) (ended bool, err error)
}

// Server reserves tokens for turns of other nodes from this node's allowances. Safe for
// concurrent use.
type Server struct {
	ledger    reserver
	locations *conversations.Cache // engine of the last turn of each conversation that this node reserves for
	stopping  atomic.Bool

	mutex      sync.Mutex
	grants     map[string]*heldGrant
	lastExpiry time.Time
	now        func() time.Time
}

// heldGrant is a grant. Until turn is set, the reservation waits for the table.
type heldGrant struct {
	turn          *ledger.RunningTurn
	maxTokens     int64
	createdAt     time.Time
	conversation  conversations.Conversation
	settledTokens *int64        // tokens used, if the grant was settled before turn was set
	done          chan struct{} // closed once the reservation has been made or rejected
}

// NewServer returns a server that reserves from allowances, a node's ledger, and that stores
// in locations which engine served the last turn of a conversation.
func NewServer(allowances reserver, locations *conversations.Cache) *Server {
	return NewServerAt(allowances, locations, time.Now)
}

// NewServerAt is NewServer with a given clock.
func NewServerAt(allowances reserver, locations *conversations.Cache, now func() time.Time) *Server {
	return &Server{ledger: allowances, locations: locations, grants: make(map[string]*heldGrant), now: now}
}

// StopAccepting makes the server reject new turns, because the node is stopping.
func (s *Server) StopAccepting() { s.stopping.Store(true) }

// Grants returns the number of grants that are not settled.
func (s *Server) Grants() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.grants)
}

// Reserve handles a request to reserve tokens for a turn. It calls keepAlive if the reply
// has to wait for the table.
func (s *Server) Reserve(ctx context.Context, request *wirepb.ReserveTokens, keepAlive func()) *wirepb.Reply {
	if ctx.Err() != nil {
		return refusal(api.NotReady, "the request was cancelled") // its settlement may have arrived before
	}
	if s.stopping.Load() {
		return refusal(api.NotReady, "the node is stopping")
	}
	id := request.GetGrant()
	conversation := conversations.Conversation{Program: request.GetProgram(), Session: request.GetSession()}
	done := s.addGrant(id, conversation, request.GetMost())
	if done == nil {
		return refusal(api.MalformedRequest, "a grant of this name already exists")
	}
	defer close(done)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveWriteTimeout)
	defer cancel()
	turn, err := s.ledger.ReserveForPeer(ctx, ledger.TurnRequest{
		Program:   request.GetProgram(),
		Budget:    request.GetBudget(),
		MaxTokens: request.GetMost(),
		Retention: time.Duration(request.GetKeepMillis()) * time.Millisecond,
	}, keepAlive)
	if err != nil {
		s.removeGrant(id)
		if errors.Is(err, ledger.ErrBudgetSpent) {
			return refusal(api.BudgetExhausted, err.Error())
		}
		if errors.Is(err, ledger.ErrBudgetUnsettled) {
			return refusal(api.BudgetUnsettled, err.Error())
		}
		return refusal(api.StoreDown, err.Error())
	}
	s.setTurn(id, turn)
	return &wirepb.Reply{Body: s.replyBody(conversation)}
}

// replyBody returns the body of the reply to a turn that has a reservation: the engine that
// served the conversation's last turn. It is empty if none is stored.
func (s *Server) replyBody(conversation conversations.Conversation) []byte {
	last := s.locations.Get(conversation)
	body, err := proto.Marshal(&wirepb.TurnCovered{LastEngine: last.Engine, LastTokens: last.Tokens})
	if err != nil {
		return nil // a hint; the reservation is valid without it
	}
	return body
}

func refusal(code api.Code, detail string) *wirepb.Reply {
	return &wirepb.Reply{Code: int32(code), Execution: string(api.NotRun), Detail: detail}
}

// Settle ends a grant.
func (s *Server) Settle(request *wirepb.SettleTokens) {
	s.mutex.Lock()
	held := s.grants[request.GetGrant()]
	if held == nil {
		s.mutex.Unlock()
		return
	}
	s.locations.Set(held.conversation, conversations.Location{Engine: request.GetEngine(), Tokens: request.GetEngineTokens()})
	if held.turn == nil {
		tokens := request.GetTokens()
		held.settledTokens = &tokens
		s.mutex.Unlock()
		return
	}
	delete(s.grants, request.GetGrant())
	s.mutex.Unlock()
	held.settle(request.GetTokens())
}

// settle settles the grant's turn. Tokens that cannot be written now are written with the next change.
func (h *heldGrant) settle(tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), settleWriteTimeout)
	defer cancel()
	_ = h.turn.Settle(ctx, tokens, nil)
}

// addGrant stores a grant whose reservation has not been made yet. The caller closes the returned
// channel once the reservation has been made or rejected. addGrant returns nil if there is already a
// grant of that name: a peer that uses a name twice could not settle both grants.
func (s *Server) addGrant(id string, conversation conversations.Conversation, maxTokens int64) chan<- struct{} {
	now := s.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	if s.grants[id] != nil {
		return nil
	}
	done := make(chan struct{})
	s.grants[id] = &heldGrant{maxTokens: maxTokens, createdAt: now, conversation: conversation, done: done}
	return done
}

// removeGrant removes a grant.
func (s *Server) removeGrant(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.grants, id)
}

// setTurn records that a grant's reservation has been made, and settles it if the settlement has arrived before.
func (s *Server) setTurn(id string, turn *ledger.RunningTurn) {
	s.mutex.Lock()
	held := s.grants[id]
	held.turn = turn
	settledTokens := held.settledTokens
	if settledTokens != nil {
		delete(s.grants, id)
	}
	s.mutex.Unlock()
	if settledTokens != nil {
		held.settle(*settledTokens)
	}
}

// expire settles the grants that were not settled in time with their maximum: their nodes may
// have died, and may have handed out all tokens before. The caller holds the mutex.
func (s *Server) expire(now time.Time) {
	if now.Sub(s.lastExpiry) < expiryPeriod {
		return
	}
	s.lastExpiry = now
	for id, held := range s.grants {
		if held.turn != nil && now.Sub(held.createdAt) > grantLifetime {
			delete(s.grants, id)
			go held.settle(held.maxTokens)
		}
	}
}
