package soak

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// linkDelay is the delay of bytes under link_delay: longer than processes wait for a peer.
const linkDelay = 120 * time.Millisecond

// linkPollInterval is the time between two checks whether a blackholed direction is restored.
const linkPollInterval = 10 * time.Millisecond

// linkDirection is one direction of the link between two processes.
type linkDirection struct{ from, to string }

// linkFault is a fault of one direction.
type linkFault struct {
	direction linkDirection
	kind      Kind
}

// links holds the faults of the links between processes. Safe for concurrent use.
type links struct{ active activeFaults[linkFault] }

func (l *links) change(direction linkDirection, kind Kind, by int) {
	l.active.change(linkFault{direction, kind}, by)
}

// has reports whether a direction has a fault now.
func (l *links) has(direction linkDirection, kind Kind) bool {
	return l.active.has(linkFault{direction, kind})
}

// waitToPass waits until bytes may pass in a direction: as long as it is blackholed, and once for a delay. It returns
// false if the direction resets connections, or the connection has ended.
func (l *links) waitToPass(ctx context.Context, direction linkDirection) bool {
	if l.has(direction, LinkDelay) && !backoff.Wait(ctx, linkDelay) {
		return false
	}
	for l.has(direction, LinkBlackhole) {
		if !backoff.Wait(ctx, linkPollInterval) {
			return false
		}
	}
	return !l.has(direction, LinkReset)
}

// directionsOf returns the kind of fault to apply to single directions, and the directions between two groups that it
// applies to.
func directionsOf(kind Kind, first, second []string) (Kind, []linkDirection) {
	var directions []linkDirection
	for _, a := range first {
		for _, b := range second {
			directions = append(directions, linkDirection{a, b})
			if kind != LinkOneWay {
				directions = append(directions, linkDirection{b, a})
			}
		}
	}
	if kind == LinkOneWay || kind == ZonePartition {
		kind = LinkBlackhole
	}
	return kind, directions
}

// splitProcesses splits the processes into two groups by a fault's target: one zone and the others, or two arbitrary
// groups, one of which may be empty.
func (d *deployment) splitProcesses(fault Fault) (first, second []*process) {
	zone := zones[fault.Target%uint64(len(zones))]
	for i, p := range d.processes {
		inFirst := p.settings.Zone == zone
		if fault.Kind != ZonePartition {
			inFirst = fault.Target>>(uint(i)%64)&1 == 1
		}
		if inFirst {
			first = append(first, p)
		} else {
			second = append(second, p)
		}
	}
	return first, second
}

// injectLinkFault applies a fault to the links between two groups of processes. A partitioned zone does not reach the
// store, either.
func (d *deployment) injectLinkFault(fault Fault) bool {
	first, second := d.splitProcesses(fault)
	if len(first) == 0 || len(second) == 0 {
		return false
	}
	for _, p := range d.processes {
		d.checker.DisruptionStarted(p.settings.Node, false)
	}
	kind, directions := directionsOf(fault.Kind, nodeNames(first), nodeNames(second))
	d.changeLinkFaults(directions, kind, 1)
	if fault.Kind == ZonePartition {
		changeEndpointFaults(first, operators.Hang, 1)
	}
	backoff.Wait(d.context, fault.Duration)
	if fault.Kind == ZonePartition {
		changeEndpointFaults(first, operators.Hang, -1)
	}
	d.changeLinkFaults(directions, kind, -1)
	for _, p := range d.processes {
		d.checker.DisruptionEnded(d.now(), p.settings.Node, false)
	}
	return true
}

func (d *deployment) changeLinkFaults(directions []linkDirection, kind Kind, by int) {
	for _, direction := range directions {
		d.links.change(direction, kind, by)
	}
}

func nodeNames(processes []*process) []string {
	names := make([]string, len(processes))
	for i, p := range processes {
		names[i] = p.settings.Node
	}
	return names
}
