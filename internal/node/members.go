package node

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Periods of the membership's clock and the bounds of one heartbeat.
const (
	tickPeriod       = 100 * time.Millisecond
	heartbeatTimeout = time.Second
)

// members drives the membership core in real time and sends its heartbeats.
type members struct {
	node *Node

	mutex sync.Mutex // serialises core
	core  *membership.Core
	kick  chan struct{}
}

func newMembers(n *Node, address string) *members {
	config := n.heartbeats
	config.Self = membership.Member{
		Name:        n.settings.Name,
		Zone:        n.settings.Zone,
		Address:     address,
		Cell:        n.settings.Cell,
		Incarnation: n.incarnation,
	}
	config.Seeds = n.settings.Seeds
	return &members{node: n, core: membership.New(config, time.Now()), kick: make(chan struct{}, 1)}
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
		case <-m.kick:
		}
	}
}

// announce makes the next heartbeat, with the node's new state, go at once.
func (m *members) announce() {
	select {
	case m.kick <- struct{}{}:
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
	output := m.core.Tick(time.Now())
	m.mutex.Unlock()
	m.apply(ctx, output)
}

// receive takes a peer's heartbeat.
func (m *members) receive(ctx context.Context, heartbeat *wirepb.Heartbeat) {
	m.mutex.Lock()
	output := m.core.Step(heartbeat, time.Now())
	m.mutex.Unlock()
	m.apply(ctx, output)
	if sender, ok := m.View().Member(heartbeat.GetNode()); ok {
		m.node.noticeBundle(heartbeat.GetBundleVersion(), sender.Address)
	}
}

func (m *members) apply(ctx context.Context, output membership.Output) {
	for _, member := range output.Changes {
		m.node.logger.Info("member changed", "member", member.Name, "state", member.State.String(), "incarnation", member.Incarnation)
		if member.State == membership.Dead {
			m.node.forwards.memberDied(member.Name)
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
		From: m.node.settings.Name,
		Body: &wirepb.Request_Heartbeat{Heartbeat: message.Heartbeat},
	}
	if err := m.node.peers.Send(ctx, message.Address, request); err != nil {
		m.node.logger.Debug("heartbeat not sent", "address", message.Address, "error", err.Error())
	}
}

// leavingHint takes over what the machine list says of a member.
func (m *members) leavingHint(name string, leaving bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.core.MachineLeaving(name, leaving)
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
