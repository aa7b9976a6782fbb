package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// The tick period of the membership core and the timeout of one heartbeat.
const (
	tickPeriod       = 100 * time.Millisecond
	heartbeatTimeout = time.Second
)

// members drives the membership core in real time and sends its heartbeats.
type members struct {
	node *Node

	mutex         sync.Mutex // serialises core
	core          *membership.Core
	listedLeaving map[string]bool // nodes that the machine list reports as leaving; guarded by mutex
	wake          chan struct{}

	// Used only by the goroutine of run.
	assignedView *membership.View // view of the last updatePolling
	assignedAt   time.Time
}

func newMembers(n *Node, address string) *members {
	config := membership.Config{
		Self: membership.Member{
			Name:        n.settings.Name,
			Zone:        n.settings.Zone,
			Address:     address,
			Cell:        n.settings.Cell,
			Incarnation: n.incarnation,
		},
		Seeds: n.settings.Seeds,
	}
	return &members{
		node:          n,
		core:          membership.New(config, time.Now()),
		listedLeaving: make(map[string]bool),
		wake:          make(chan struct{}, 1),
	}
}

// View returns the immutable view of the cell.
func (m *members) View() *membership.View { return m.core.View() }

// run ticks until ctx ends.
func (m *members) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		m.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
			m.mutex.Lock()
			m.core.Announce()
			m.mutex.Unlock()
		}
	}
}

// announce sends a round of heartbeats with the node's new state immediately.
func (m *members) announce() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *members) tick(ctx context.Context) {
	version := uint64(0)
	if snapshot := m.node.keeper.InForce(); snapshot != nil {
		version = snapshot.Version()
	}
	leaving := m.node.leaving.Load()
	m.mutex.Lock()
	m.core.SetSelf(version, m.node.programs.Count(), version > 0, leaving)
	now := time.Now()
	output := m.core.Tick(now)
	m.mutex.Unlock()
	m.updatePolling(now)
	m.addDigests(output.Messages, now)
	m.apply(ctx, output)
}

// addDigests adds this node's observations of engines to a round of
// heartbeats, for the members that can read them.
func (m *members) addDigests(messages []membership.Message, now time.Time) {
	if len(messages) == 0 {
		return
	}
	fleet := m.node.dispatcher.Fleet()
	fleet.BeginRound(now)
	view := m.View()
	for _, message := range messages {
		if receiver, ok := view.Member(message.Node); ok && receiver.State != membership.Dead {
			fleet.FillHeartbeat(message.Heartbeat, receiver)
		}
	}
}

// updatePolling makes the fleet update which engines it polls, when duties may have changed and
// periodically, since digests may have stopped arriving.
func (m *members) updatePolling(now time.Time) {
	view := m.View()
	if view.SameDuties(m.assignedView) && now.Sub(m.assignedAt) < reassignPeriod {
		return
	}
	m.assignedView, m.assignedAt = view, now
	m.node.dispatcher.Fleet().UpdatePolling(now)
}

// receive handles a peer's heartbeat.
func (m *members) receive(ctx context.Context, heartbeat *wirepb.Heartbeat) {
	m.mutex.Lock()
	output := m.core.Step(heartbeat, time.Now())
	m.mutex.Unlock()
	m.apply(ctx, output)
	m.node.dispatcher.Fleet().Receive(heartbeat, time.Now())
	if sender, ok := m.View().Member(heartbeat.GetNode()); ok {
		m.node.fetchIfNewer(heartbeat.GetBundleVersion(), sender.Address)
	}
}

func (m *members) apply(ctx context.Context, output membership.Output) {
	for _, member := range output.Changes {
		m.node.logger.Info("member changed", "member", member.Name, "state", member.State.String(), "incarnation", member.Incarnation)
		if member.State == membership.Dead {
			m.node.forwards.cancelMember(member.Name)
		}
	}
	for _, message := range output.Messages {
		go m.send(ctx, message)
	}
}

func (m *members) send(ctx context.Context, message membership.Message) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request := &wirepb.Request{
		Body: &wirepb.Request_Heartbeat{Heartbeat: message.Heartbeat},
	}
	if err := m.node.peers.Send(ctx, message.Address, request); err != nil {
		m.node.dispatcher.Fleet().HeartbeatFailed(message.Node)
		m.node.logger.Debug("heartbeat not sent", "address", message.Address, "error", err.Error())
	}
}

// connectionRefused records that a member's address refused a connection.
func (m *members) connectionRefused(address string, afterBreak bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.core.ConnectionRefused(address, afterBreak, time.Now())
}

// setListedLeaving records which nodes the machine list reports as leaving, and
// announces new ones to the members immediately.
func (m *members) setListedLeaving(names []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	added := false
	for name := range m.listedLeaving {
		if !slices.Contains(names, name) {
			m.core.SetMachineLeaving(name, false)
			delete(m.listedLeaving, name)
		}
	}
	for _, name := range names {
		if !m.listedLeaving[name] {
			m.core.SetMachineLeaving(name, true)
			m.listedLeaving[name] = true
			added = true
		}
	}
	if added {
		m.announce()
	}
}

// newestBundle returns the highest bundle version that any live member has.
func (m *members) newestBundle() uint64 {
	newest := uint64(0)
	for _, member := range m.View().Members {
		if member.State != membership.Dead {
			newest = max(newest, member.BundleVersion)
		}
	}
	return newest
}
