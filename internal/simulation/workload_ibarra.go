package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tools of Contadores Ibarra: look-ups of invoices and rules answer within a
// second; the tax authority's portal is slower and hangs more often.
var (
	invoiceLookup = pause{median: 600 * time.Millisecond, sigma: 1, hang: 0.003}
	taxPortal     = pause{median: 2 * time.Second, sigma: 1.2, hang: 0.01}
)

// ibarraSource draws the Client Assistant's conversations and the Filing
// Agent's declarations.
type ibarraSource struct {
	draws draw
}

func newIbarraSource(random *rand.Rand) programSource {
	return &ibarraSource{draws: draw{random}}
}

func (s *ibarraSource) draw(tenant, class string) *ProgramShape {
	shape := &ProgramShape{Tenant: tenant, Class: class}
	if class == "filing-agent" {
		shape.Prefix = []Segment{{Content: contentNamed(tenant, class, "system"), Tokens: 2500}}
		shape.Turns = s.filingTurns(tenant)
		return shape
	}
	shape.Prefix = []Segment{{Content: contentNamed(tenant, class, "system"), Tokens: 1500}}
	shape.Turns = s.questionTurns()
	return shape
}

// questionTurns: a question, 1 to 12 look-ups of which few are usual, and an
// answer.
func (s *ibarraSource) questionTurns() []Turn {
	lookups := 1
	for lookups < 12 && s.draws.chance(0.72) {
		lookups++
	}
	input := s.draws.tokens(60, 0.7, 10, 400)
	var turns []Turn
	for range lookups {
		turns = append(turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.draws.tokens(50, 0.5, 15, 200),
			Pause:        s.draws.pause(invoiceLookup),
		})
		input = s.draws.tokens(250, 0.8, 30, 2000)
	}
	return append(turns, Turn{InputTokens: input, AnswerTokens: s.draws.tokens(200, 0.5, 40, 512)})
}

// filingTurns: a month's documents, 8 to 25 steps, and sometimes sub-agents
// that reconcile a part each.
func (s *ibarraSource) filingTurns(tenant string) []Turn {
	steps := s.draws.between(8, 25)
	reconcileAt := -1
	if s.draws.chance(0.3) {
		reconcileAt = s.draws.between(1, steps/2)
	}
	input := s.draws.tokens(3000, 0.5, 1000, 8000)
	var turns []Turn
	for step := range steps {
		turn := Turn{
			InputTokens:  input,
			AnswerTokens: s.draws.tokens(120, 0.5, 20, 512),
			Pause:        s.draws.pause(taxPortal),
		}
		if step == reconcileAt {
			for range s.draws.between(2, 3) {
				turn.Children = append(turn.Children, s.reconciliation(tenant))
			}
		}
		turns = append(turns, turn)
		input = s.draws.tokens(400, 0.8, 50, 3000)
	}
	return append(turns, Turn{InputTokens: input, AnswerTokens: s.draws.tokens(250, 0.4, 50, 512)})
}

// reconciliation is a sub-agent with the filing agent's system prompt.
func (s *ibarraSource) reconciliation(tenant string) *ProgramShape {
	child := &ProgramShape{
		Tenant: tenant,
		Class:  "filing-agent",
		Prefix: []Segment{{Content: contentNamed(tenant, "filing-agent", "system"), Tokens: 2500}},
	}
	input := s.draws.tokens(1500, 0.5, 400, 4000)
	for range s.draws.between(2, 5) {
		child.Turns = append(child.Turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.draws.tokens(120, 0.5, 20, 512),
			Pause:        s.draws.pause(invoiceLookup),
		})
		input = s.draws.tokens(300, 0.8, 50, 2000)
	}
	return child
}

// contentNamed returns the content that has a name.
func contentNamed(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part + "\n")
	}
	return digest.Sum64()
}
