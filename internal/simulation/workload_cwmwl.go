package simulation

import (
	"math/rand/v2"
	"time"
)

// Tools of Cwmwl Clipiau: media engines that search and cut clips, and the
// publishing system of the broadcaster.
var (
	clipSearch = pauseDistribution{median: 1500 * time.Millisecond, sigma: 1, hangProbability: 0.003}
	publishing = pauseDistribution{median: 3 * time.Second, sigma: 0.8, hangProbability: 0.003}
)

// Matches that the programs refer to.
const (
	activeMatches   = 12         // active at the same time, over all tenants
	matchTurnover   = 1.0 / 30.0 // probability per program that a match ends and another starts
	minMatchNotes   = 6000       // tokens
	maxMatchNotes   = 20000
	guidelineTokens = 800 // system prompt of every program
)

// cwmwlSource draws Reel and Commentary Requests. Every request refers to a
// match and shares the long notes on it with the other requests for that match.
type cwmwlSource struct {
	sampler        sampler
	matches        [activeMatches]Segment
	matchesStarted uint64
}

func newCwmwlSource(random *rand.Rand) programSource {
	s := &cwmwlSource{sampler: sampler{random}}
	for i := range s.matches {
		s.startMatch(i)
	}
	return s
}

// startMatch replaces the match at an index by a new one with new notes.
func (s *cwmwlSource) startMatch(index int) {
	s.matchesStarted++
	s.matches[index] = Segment{
		Content: hashOf(contentNamed("notes"), s.matchesStarted),
		Tokens:  int64(s.sampler.between(minMatchNotes, maxMatchNotes)),
	}
}

// pickMatch picks a match. The match at index i is 1/(i+1) times as popular as
// the first.
func (s *cwmwlSource) pickMatch() Segment {
	if s.sampler.chance(matchTurnover) {
		s.startMatch(s.sampler.between(0, activeMatches-1))
	}
	total := 0.0
	for i := range s.matches {
		total += 1 / float64(i+1)
	}
	point := s.sampler.random.Float64() * total
	for i := range s.matches {
		point -= 1 / float64(i+1)
		if point < 0 {
			return s.matches[i]
		}
	}
	return s.matches[activeMatches-1]
}

func (s *cwmwlSource) draw(tenant, class string) *ProgramShape {
	notes := s.pickMatch()
	shape := &ProgramShape{
		Tenant: tenant,
		Class:  class,
		Prefix: []Segment{{Content: contentNamed("guidelines"), Tokens: guidelineTokens}, notes},
	}
	if class == "commentary-request" {
		shape.Turns = s.commentaryTurns()
		return shape
	}
	shape.Turns = s.reelTurns(shape)
	return shape
}

// commentaryTurns returns a draft and up to two revisions.
func (s *cwmwlSource) commentaryTurns() []Turn {
	input := s.sampler.tokens(120, 0.5, 30, 500)
	var turns []Turn
	for range s.sampler.between(1, 3) {
		turns = append(turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.sampler.tokens(250, 0.4, 60, 768),
			Pause:        s.sampler.pause(clipSearch),
		})
		input = s.sampler.tokens(200, 0.6, 30, 1000)
	}
	return turns
}

// reelTurns returns a plan, clip searches by sub-agents, and the assembly.
func (s *cwmwlSource) reelTurns(parent *ProgramShape) []Turn {
	plan := Turn{
		InputTokens:  s.sampler.tokens(120, 0.5, 30, 500),
		AnswerTokens: s.sampler.tokens(150, 0.4, 40, 512),
	}
	searches := s.sampler.between(2, 8)
	for range searches {
		plan.Children = append(plan.Children, s.clipSearch(parent))
	}
	turns := []Turn{plan}
	input := int64(150 * searches)
	for range s.sampler.between(1, 3) {
		turns = append(turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.sampler.tokens(200, 0.4, 40, 512),
			Pause:        s.sampler.pause(publishing),
		})
		input = s.sampler.tokens(150, 0.5, 30, 500)
	}
	return append(turns, Turn{InputTokens: input, AnswerTokens: s.sampler.tokens(100, 0.4, 20, 400)})
}

// clipSearch returns a sub-agent that searches one clip with the same notes.
func (s *cwmwlSource) clipSearch(parent *ProgramShape) *ProgramShape {
	child := &ProgramShape{Tenant: parent.Tenant, Class: parent.Class, Prefix: parent.Prefix}
	input := s.sampler.tokens(80, 0.4, 20, 300)
	for range s.sampler.between(1, 4) {
		child.Turns = append(child.Turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.sampler.tokens(70, 0.5, 15, 300),
			Pause:        s.sampler.pause(clipSearch),
		})
		input = s.sampler.tokens(400, 0.6, 60, 2000)
	}
	return child
}
