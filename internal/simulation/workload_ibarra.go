package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tools of Contadores Ibarra: look-ups of invoices and rules mostly answer within
// a second; the tax authority's portal is slower and hangs more often.
var (
	invoiceLookup = pauseDistribution{median: 600 * time.Millisecond, sigma: 1, hangProbability: 0.003}
	taxPortal     = pauseDistribution{median: 2 * time.Second, sigma: 1.2, hangProbability: 0.01}
)

// ibarraSource draws the conversations of the Client Assistant and the tax
// declarations of the Filing Agent.
type ibarraSource struct {
	sampler sampler
}

func newIbarraSource(random *rand.Rand) programSource {
	return &ibarraSource{sampler: sampler{random}}
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

// questionTurns returns a question, 1 to 12 look-ups, with low numbers more likely, and an answer.
func (s *ibarraSource) questionTurns() []Turn {
	lookups := 1
	for lookups < 12 && s.sampler.chance(0.72) {
		lookups++
	}
	input := s.sampler.tokens(60, 0.7, 10, 400)
	var turns []Turn
	for range lookups {
		turns = append(turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.sampler.tokens(50, 0.5, 15, 200),
			Pause:        s.sampler.pause(invoiceLookup),
		})
		input = s.sampler.tokens(250, 0.8, 30, 2000)
	}
	return append(turns, Turn{InputTokens: input, AnswerTokens: s.sampler.tokens(200, 0.5, 40, 512)})
}

// filingTurns returns a month's documents, 8 to 25 steps and, in 30 % of the programs, sub-agents
// that reconcile one part each.
func (s *ibarraSource) filingTurns(tenant string) []Turn {
	steps := s.sampler.between(8, 25)
	reconcileAt := -1
	if s.sampler.chance(0.3) {
		reconcileAt = s.sampler.between(1, steps/2)
	}
	input := s.sampler.tokens(3000, 0.5, 1000, 8000)
	var turns []Turn
	for step := range steps {
		turn := Turn{
			InputTokens:  input,
			AnswerTokens: s.sampler.tokens(120, 0.5, 20, 512),
			Pause:        s.sampler.pause(taxPortal),
		}
		if step == reconcileAt {
			for range s.sampler.between(2, 3) {
				turn.Children = append(turn.Children, s.reconciliation(tenant))
			}
		}
		turns = append(turns, turn)
		input = s.sampler.tokens(400, 0.8, 50, 3000)
	}
	return append(turns, Turn{InputTokens: input, AnswerTokens: s.sampler.tokens(250, 0.4, 50, 512)})
}

// reconciliation returns a sub-agent with the filing agent's system prompt.
func (s *ibarraSource) reconciliation(tenant string) *ProgramShape {
	child := &ProgramShape{
		Tenant: tenant,
		Class:  "filing-agent",
		Prefix: []Segment{{Content: contentNamed(tenant, "filing-agent", "system"), Tokens: 2500}},
	}
	input := s.sampler.tokens(1500, 0.5, 400, 4000)
	for range s.sampler.between(2, 5) {
		child.Turns = append(child.Turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.sampler.tokens(120, 0.5, 20, 512),
			Pause:        s.sampler.pause(invoiceLookup),
		})
		input = s.sampler.tokens(300, 0.8, 50, 2000)
	}
	return child
}

// contentNamed returns the content id for a name.
func contentNamed(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part + "\n")
	}
	return digest.Sum64()
}
