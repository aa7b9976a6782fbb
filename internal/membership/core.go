package membership

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Message is a heartbeat to be sent one-way. Each message has a Heartbeat of
// its own, to which the sender may add. Node is empty if the receiver's name is
// not known yet.
type Message struct {
	Address, Node string
	Heartbeat     *wirepb.Heartbeat
}

// Output is the result of one step: messages to send, and the current content
// of members that changed in more than counters and times.
type Output struct {
	Messages []Message
	Changes  []Member
}

// candidate is a member learned from others, without a heartbeat of its own yet.
type candidate struct {
	address     string
	incarnation uint64
	expiresBeat uint64
}

// Core is the state machine of one node's membership. Not safe for concurrent
// use, except View.
type Core struct {
	config         Config
	self           Member
	records        map[string]*record
	candidates     map[string]candidate // by name
	machineLeaving map[string]bool      // names that the machine list marks as leaving
	selfLeaving    bool                 // set by SetSelf

	sequence uint64
	beat     uint64 // number of heartbeat rounds so far
	nextBeat time.Time
	lastTick time.Time
	digest   uint32 // over the live members in the view, this node included

	view atomic.Pointer[View]
}

// New returns a core whose view contains only this node.
func New(config Config, now time.Time) *Core {
	config = config.withDefaults()
	core := &Core{
		config:         config,
		self:           config.Self,
		records:        make(map[string]*record),
		candidates:     make(map[string]candidate),
		machineLeaving: make(map[string]bool),
		nextBeat:       now,
		lastTick:       now,
	}
	core.self.State = Alive
	core.publish(now)
	return core
}

// View returns the current snapshot. Safe for concurrent use.
func (c *Core) View() *View { return c.view.Load() }

// SetSelf sets the state that this node's heartbeats report. A change of ready
// or leaving shows in the view and is sent with the next Tick, without waiting
// for the next heartbeat round.
func (c *Core) SetSelf(bundleVersion uint64, programs int, ready, leaving bool) {
	if ready != c.self.Ready || leaving != c.selfLeaving {
		c.nextBeat = time.Time{}
	}
	c.self.BundleVersion = bundleVersion
	c.self.Programs = programs
	c.self.Ready = ready
	c.selfLeaving = leaving
}

// SetMachineLeaving records whether the machine list marks a node as leaving.
// It has the same effect as the node's own announcement, from the next Tick on.
func (c *Core) SetMachineLeaving(name string, leaving bool) {
	if leaving {
		c.machineLeaving[name] = true
	} else {
		delete(c.machineLeaving, name)
	}
}

// ConnectionRefused records that a connection to the address was refused. With
// a missed heartbeat, this makes the member at that address dead from the next
// Tick on. If the member had closed a connection before (afterBreak), it is dead
// without a missed heartbeat.
func (c *Core) ConnectionRefused(address string, afterBreak bool, now time.Time) {
	for _, peer := range c.records {
		if peer.member.Address == address {
			peer.refusedAt = now
			peer.brokeBefore = afterBreak
		}
	}
}

// Announce makes the next Tick start a heartbeat round.
func (c *Core) Announce() { c.nextBeat = time.Time{} }

// Tick advances the time and returns heartbeats if a round is due. The caller
// calls it at least ticksPerBeat times per HeartbeatEvery.
func (c *Core) Tick(now time.Time) Output {
	c.discountPause(now)
	var output Output
	output.Changes = c.refresh(now)
	due := !now.Before(c.nextBeat)
	if due || len(output.Changes) > 0 {
		c.publish(now)
	}
	if due {
		c.beat++
		c.scheduleBeat(now)
		output.Messages = c.round()
	}
	return output
}

// discountPause keeps time in which this node did not run from counting as
// missing heartbeats of the others.
func (c *Core) discountPause(now time.Time) {
	pause := now.Sub(c.lastTick) - c.config.HeartbeatEvery/ticksPerBeat
	c.lastTick = now
	if pause <= 0 {
		return
	}
	for _, peer := range c.records {
		if peer.member.State != Dead {
			peer.lastReceived = earlier(peer.lastReceived.Add(pause), now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// scheduleBeat sets the time of the next round. The rounds keep their rhythm
// unless one was late or early.
func (c *Core) scheduleBeat(now time.Time) {
	c.nextBeat = c.nextBeat.Add(c.config.HeartbeatEvery)
	if !c.nextBeat.After(now) {
		c.nextBeat = now.Add(c.config.HeartbeatEvery)
	}
}

// refresh updates all states, drops members that have been dead for forgetAfter
// and expired candidates, and returns the members that changed.
func (c *Core) refresh(now time.Time) []Member {
	var changes []Member
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		peer := c.records[name]
		before := peer.member
		peer.refresh(c.config, c.listedLeaving(name), now)
		if !peer.member.sameExceptCounters(before) {
			changes = append(changes, peer.member)
		}
		if peer.member.State == Dead && now.Sub(peer.diedAt) >= forgetAfter {
			delete(c.records, name)
		}
	}
	maps.DeleteFunc(c.candidates, func(_ string, learned candidate) bool {
		return c.beat >= learned.expiresBeat
	})
	return append(changes, c.refreshSelf()...)
}

// refreshSelf returns this node if it changed since the last view.
func (c *Core) refreshSelf() []Member {
	c.self.State = Alive
	if c.leaving() {
		c.self.State = Leaving
	}
	before, found := c.View().Member(c.self.Name)
	if found && c.self.sameExceptCounters(before) {
		return nil
	}
	return []Member{c.self}
}

// leaving reports whether this node's heartbeats announce that it stops.
func (c *Core) leaving() bool { return c.selfLeaving || c.listedLeaving(c.self.Name) }

// listedLeaving reports whether the machine list marks the node as leaving,
// according to this node or to any live member.
func (c *Core) listedLeaving(name string) bool {
	if c.machineLeaving[name] {
		return true
	}
	for _, peer := range c.records {
		if peer.member.State != Dead && slices.Contains(peer.listedLeaving, name) {
			return true
		}
	}
	return false
}

// publish replaces the view and the digest.
func (c *Core) publish(now time.Time) {
	c.self.LastHeartbeat = now
	members := make([]Member, 0, len(c.records)+1)
	members = append(members, c.self)
	for _, peer := range c.records {
		members = append(members, peer.member)
	}
	slices.SortFunc(members, compareNames)
	c.digest = digestOf(members)
	c.view.Store(newView(members, c.view.Load()))
}

// Step applies a received heartbeat. The output contains a message only if the
// sender is a new member, which gets a heartbeat at once.
func (c *Core) Step(heartbeat *wirepb.Heartbeat, now time.Time) Output {
	if !c.accepts(heartbeat) {
		return Output{}
	}
	c.learnAddresses(heartbeat.GetMembers())
	sender, changes := c.recordFor(heartbeat, now)
	if sender == nil {
		return Output{}
	}
	before := sender.member
	newMember := sender.sequence == 0
	sender.apply(heartbeat, c.config.SuspectAfter, now)
	sender.refresh(c.config, c.listedLeaving(before.Name), now)
	if newMember || !sender.member.sameExceptCounters(before) {
		changes = append(changes, sender.member)
		c.publish(now)
	}
	output := Output{Changes: changes}
	if newMember {
		c.sequence++
		output.Messages = append(output.Messages, c.messageTo(sender))
	}
	return output
}

// accepts reports whether the heartbeat is from another member of this cell. A
// heartbeat without a cell comes from a member that already has a record here.
func (c *Core) accepts(heartbeat *wirepb.Heartbeat) bool {
	name, cell := heartbeat.GetNode(), heartbeat.GetCell()
	return name != "" && name != c.self.Name && (cell == "" || cell == c.self.Cell)
}

// recordFor returns the record of the heartbeat's sender, or nil if the
// heartbeat is out of date, or comes from an unknown node without its address.
// If the heartbeat ends an older incarnation, that one is returned as dead.
func (c *Core) recordFor(heartbeat *wirepb.Heartbeat, now time.Time) (*record, []Member) {
	name, incarnation := heartbeat.GetNode(), heartbeat.GetIncarnation()
	existing := c.records[name]
	if existing == nil {
		if heartbeat.GetAddress() == "" {
			return nil, nil
		}
		existing = newRecord(name, incarnation, now)
		c.records[name] = existing
		return existing, nil
	}
	if incarnation < existing.member.Incarnation {
		return nil, nil
	}
	if incarnation == existing.member.Incarnation {
		if heartbeat.GetSequence() <= existing.sequence {
			return nil, nil
		}
		return existing, nil
	}
	ended := existing.member
	ended.State = Dead
	restarted := newRecord(name, incarnation, now)
	restarted.detailsIncarnation = existing.detailsIncarnation
	restarted.member.Zone, restarted.member.Address, restarted.member.Cell = ended.Zone, ended.Address, ended.Cell
	c.records[name] = restarted
	return restarted, []Member{ended}
}
