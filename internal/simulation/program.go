package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/api"
)

// attainedTokensPerSecond converts a program's tokens to engine time. The dispatcher uses the same
// rate.
const attainedTokensPerSecond = 5000

// program is a running program or sub-agent.
type program struct {
	run    *run
	id     string
	number uint64 // identifies its contents; the same under every policy
	shape  *ProgramShape
	class  *Class
	node   *node
	parent *program // nil for a root

	started   time.Time
	deadline  time.Time // soft deadline
	timeoutAt time.Time // the client times out

	turn                int // index of the current or next turn
	attempts            int
	prompt              prompt
	tokens              int64
	lastEngine          string
	cacheEngines        []*simulatedEngine // engines that may hold cache for the program
	pendingDependencies int                // the pause and the sub-agents that the next turn waits for
	childCount          int                // sub-agents spawned so far
	rejectionCode       api.Code           // why the program or one of its sub-agents was rejected; OK if none was
}

// startRoot starts a program on the node that its number hashes to.
func (r *run) startRoot(number int, shape *ProgramShape) {
	now := r.clock.now
	class := r.deployment.class(shape.Class)
	p := &program{
		run:       r,
		id:        fmt.Sprintf("c1-%016x", number),
		number:    uint64(number),
		shape:     shape,
		class:     class,
		node:      r.nodes[hashOf(uint64(number))%uint64(len(r.nodes))],
		started:   now,
		deadline:  now.Add(class.Deadline),
		timeoutAt: now.Add(class.MaxWall),
	}
	p.begin()
}

// spawn starts a sub-agent on the parent's node.
func (p *program) spawn(shape *ProgramShape) {
	p.childCount++
	child := &program{
		run:       p.run,
		id:        fmt.Sprintf("%s.%d", p.id, p.childCount),
		number:    hashOf(p.number, uint64(p.childCount)),
		shape:     shape,
		class:     p.class,
		node:      p.node,
		parent:    p,
		started:   p.run.clock.now,
		deadline:  p.deadline,
		timeoutAt: p.timeoutAt,
	}
	child.begin()
}

// begin issues the first call.
func (p *program) begin() {
	for _, segment := range p.shape.Prefix {
		p.prompt = p.prompt.append(segment.Content, segment.Tokens)
	}
	p.issueTurn()
}

// issueTurn issues the call of the current turn.
func (p *program) issueTurn() {
	p.node.retainer.Resume(p.id, p.run.clock.now)
	p.prompt = p.prompt.append(hashOf(p.number, uint64(p.turn), 1), p.shape.Turns[p.turn].InputTokens)
	p.submit()
}

// submit submits the call of the current turn to the node as a new attempt.
func (p *program) submit() {
	turn := &p.shape.Turns[p.turn]
	p.attempts++
	p.run.measure.calls++
	p.node.submit(&call{
		id:           fmt.Sprintf("%s@%d", p.id, p.attempts),
		program:      p,
		prompt:       p.prompt,
		final:        p.prompt.append(hashOf(p.number, uint64(p.turn), 2), turn.AnswerTokens),
		answerTokens: turn.AnswerTokens,
	})
}

// attainedService returns the engine time that the program has received, estimated from its tokens.
func (p *program) attainedService() time.Duration {
	return time.Duration(float64(p.tokens) / attainedTokensPerSecond * float64(time.Second))
}

// handleAnswer processes the answer to the current turn.
func (p *program) handleAnswer(e *simulatedEngine, c *call) {
	p.run.measure.answered++
	p.tokens += c.final.tokens
	p.prompt = c.final
	p.lastEngine = e.name
	if !slices.Contains(p.cacheEngines, e) {
		p.cacheEngines = append(p.cacheEngines, e)
	}
	turn := &p.shape.Turns[p.turn]
	p.turn++
	if p.turn == len(p.shape.Turns) {
		p.end()
		return
	}
	p.pendingDependencies = 1 + len(turn.Children)
	p.run.clock.after(turn.Pause, p.turnDependencyDone)
	for _, child := range turn.Children {
		p.spawn(child)
	}
}

// turnDependencyDone counts one dependency of the next turn as done and issues the turn after the
// last one.
func (p *program) turnDependencyDone() {
	p.pendingDependencies--
	if p.pendingDependencies == 0 {
		p.issueTurn()
	}
}

// handleRefusal retries the call after the rejection's retry delay, if it has one that ends before
// the client's timeout. Otherwise the program ends.
func (p *program) handleRefusal(problem *api.Error) {
	p.run.measure.recordRefusal(problem.Code)
	retryAt := p.run.clock.now.Add(problem.RetryAfter)
	if problem.RetryAfter > 0 && retryAt.Before(p.timeoutAt) {
		p.run.clock.at(retryAt, p.submit)
		return
	}
	p.rejectionCode = problem.Code
	p.end()
}

// end releases the program's cache and notifies its parent. A parent continues without a rejected
// sub-agent, but then counts as rejected itself.
func (p *program) end() {
	p.node.retainer.EndProgram(p.id)
	for _, e := range p.cacheEngines {
		p.run.clock.after(p.run.delay(p.node.zone, e.zone), func() { e.release(p.id) })
	}
	if p.parent == nil {
		p.run.programEnded(p)
		return
	}
	if p.rejectionCode != api.OK {
		p.parent.rejectionCode = p.rejectionCode
	}
	p.parent.turnDependencyDone()
}
