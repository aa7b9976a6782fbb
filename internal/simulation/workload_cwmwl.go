package simulation

import (
	"math/rand/v2"
	"time"
)

// Tools of Cwmwl Clipiau: media engines that search and cut clips, and the
// broadcaster's publishing.
var (
	clipSearch = pause{median: 1500 * time.Millisecond, sigma: 1, hang: 0.003}
	publishing = pause{median: 3 * time.Second, sigma: 0.8, hang: 0.003}
)

// Matches that programs are about.
const (
	activeMatches   = 12         // at a time, over all tenants
	matchTurnover   = 1.0 / 30.0 // chance per program that a match ends and another begins
	leastMatchNotes = 6000       // tokens
	mostMatchNotes  = 20000
	guidelineTokens = 800 // system prompt of every program
)

// cwmwlSource draws Reel and Commentary Requests. Every request is about a
// match, whose long notes it shares with the other requests about it.
type cwmwlSource struct {
	draws   draw
	matches [activeMatches]Segment
	begun   uint64
}

func newCwmwlSource(random *rand.Rand) programSource {
	s := &cwmwlSource{draws: draw{random}}
	for i := range s.matches {
		s.begin(i)
	}
	return s
}

// begin puts new notes in a match's place.
func (s *cwmwlSource) begin(place int) {
	s.begun++
	s.matches[place] = Segment{
		Content: hashOf(contentNamed("notes"), s.begun),
		Tokens:  int64(s.draws.between(leastMatchNotes, mostMatchNotes)),
	}
}

// match picks a match; the one in place i is 1/(i+1) times as popular as the
// first.
func (s *cwmwlSource) match() Segment {
	if s.draws.chance(matchTurnover) {
		s.begin(s.draws.between(0, activeMatches-1))
	}
	total := 0.0
	for i := range s.matches {
		total += 1 / float64(i+1)
	}
	point := s.draws.random.Float64() * total
	for i := range s.matches {
		point -= 1 / float64(i+1)
		if point < 0 {
			return s.matches[i]
		}
	}
	return s.matches[activeMatches-1]
}

func (s *cwmwlSource) draw(tenant, class string) *ProgramShape {
	notes := s.match()
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

// commentaryTurns: a draft and up to two revisions.
func (s *cwmwlSource) commentaryTurns() []Turn {
	input := s.draws.tokens(120, 0.5, 30, 500)
	var turns []Turn
	for range s.draws.between(1, 3) {
		turns = append(turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.draws.tokens(250, 0.4, 60, 768),
			Pause:        s.draws.pause(clipSearch),
		})
		input = s.draws.tokens(200, 0.6, 30, 1000)
	}
	return turns
}

// reelTurns: a plan, clip searches by sub-agents, and assembling.
func (s *cwmwlSource) reelTurns(parent *ProgramShape) []Turn {
	plan := Turn{
		InputTokens:  s.draws.tokens(120, 0.5, 30, 500),
		AnswerTokens: s.draws.tokens(150, 0.4, 40, 512),
	}
	searches := s.draws.between(2, 8)
	for range searches {
		plan.Children = append(plan.Children, s.clipSearch(parent))
	}
	turns := []Turn{plan}
	input := int64(150 * searches)
	for range s.draws.between(1, 3) {
		turns = append(turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.draws.tokens(200, 0.4, 40, 512),
			Pause:        s.draws.pause(publishing),
		})
		input = s.draws.tokens(150, 0.5, 30, 500)
	}
	return append(turns, Turn{InputTokens: input, AnswerTokens: s.draws.tokens(100, 0.4, 20, 400)})
}

// clipSearch is a sub-agent that looks for one clip in the same notes.
func (s *cwmwlSource) clipSearch(parent *ProgramShape) *ProgramShape {
	child := &ProgramShape{Tenant: parent.Tenant, Class: parent.Class, Prefix: parent.Prefix}
	input := s.draws.tokens(80, 0.4, 20, 300)
	for range s.draws.between(1, 4) {
		child.Turns = append(child.Turns, Turn{
			InputTokens:  input,
			AnswerTokens: s.draws.tokens(70, 0.5, 15, 300),
			Pause:        s.draws.pause(clipSearch),
		})
		input = s.draws.tokens(400, 0.6, 60, 2000)
	}
	return child
}
