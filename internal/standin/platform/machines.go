package platform

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// machineList is the machine list; changes become visible only after a lag.
type machineList struct {
	lag time.Duration

	mu      sync.Mutex // guards the fields below
	visible map[string]tablestore.Machine
	pending []machineChange // not visible yet, oldest first
}

// machineChange adds or replaces a machine, or removes the one of that name if withdrawn is set.
type machineChange struct {
	at        time.Time
	machine   tablestore.Machine
	withdrawn bool
}

func (m *machineList) change(change machineChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = append(m.pending, change)
}

// list returns the machines as they were one lag before now, sorted by name.
func (m *machineList) list(now time.Time) []tablestore.Machine {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.pending) > 0 && !now.Before(m.pending[0].at.Add(m.lag)) {
		change := m.pending[0]
		m.pending = m.pending[1:]
		if change.withdrawn {
			delete(m.visible, change.machine.Name)
		} else {
			m.visible[change.machine.Name] = change.machine
		}
	}
	machines := make([]tablestore.Machine, 0, len(m.visible))
	for _, name := range slices.Sorted(maps.Keys(m.visible)) {
		machines = append(machines, m.visible[name])
	}
	return machines
}

// Announce adds a machine to the list, or replaces the one of that name, after the lag.
func (p *Platform) Announce(machine tablestore.Machine) {
	p.machines.change(machineChange{at: time.Now(), machine: machine})
}

// Withdraw removes a machine from the list after the lag.
func (p *Platform) Withdraw(name string) {
	machine := tablestore.Machine{Name: name}
	p.machines.change(machineChange{at: time.Now(), machine: machine, withdrawn: true})
}

// List implements tablestore.Machines.
func (p *Platform) List(ctx context.Context) ([]tablestore.Machine, error) {
	if err := p.admitRead(ctx); err != nil {
		return nil, err
	}
	return p.machines.list(time.Now()), nil
}
