package tests

import (
	"context"
	"testing"

	"github.com/pewtermill/pewtermill/internal/membership"
)

// Cuts of links between nodes, each alone, then while the store fails.
var linkFailures = []failure{
	{"one link cut both ways", cutLink},
	{"one link cut one way", cutLinkOneWay},
	{"node isolated", isolateNode},
	{"node not heard by the others", muteNode},
	{"node that hears nobody", deafenNode},
	{"node isolated while replies are lost", both(repliesLost, isolateNode)},
	{"node isolated while the store is down", both(storeDown, isolateNode)},
	{"two links cut in turn", bothLinks},
}

// TestInvariantsUnderCutLinks is TestInvariantsUnderFailure with nodes in one
// process, whose links are cut.
func TestInvariantsUnderCutLinks(t *testing.T) {
	t.Parallel()
	checkInvariants(t, size{engines: 3, nodes: 3, embedded: true}, linkFailures)
}

func cutLink(d *deployment, w *workload) {
	first, second := d.nodes[0], d.nodes[1]
	cutBothWays(first, second)
	w.waitLost(first, second)
	w.waitLost(second, first)
	w.waitProgress(callersAtOnce)
	mend(first, second)
	w.waitWhole()
}

// cutLinkOneWay loses what the first node sends to the second.
func cutLinkOneWay(d *deployment, w *workload) {
	first, second := d.nodes[0], d.nodes[1]
	cutOneWay(first, second)
	w.waitLost(second, first)
	w.waitProgress(callersAtOnce)
	mend(first, second)
	w.waitWhole()
}

func isolateNode(d *deployment, w *workload) {
	isolated := d.nodes[0]
	for _, other := range d.nodes[1:] {
		cutBothWays(isolated, other)
	}
	for _, other := range d.nodes[1:] {
		w.waitLost(isolated, other)
		w.waitLost(other, isolated)
	}
	w.waitProgress(callersAtOnce)
	w.mendAll()
}

func muteNode(d *deployment, w *workload) {
	for _, other := range d.nodes[1:] {
		cutOneWay(d.nodes[0], other)
	}
	for _, other := range d.nodes[1:] {
		w.waitLost(other, d.nodes[0])
	}
	w.waitProgress(callersAtOnce)
	w.mendAll()
}

func deafenNode(d *deployment, w *workload) {
	for _, other := range d.nodes[1:] {
		cutOneWay(other, d.nodes[0])
	}
	for _, other := range d.nodes[1:] {
		w.waitLost(d.nodes[0], other)
	}
	w.waitProgress(callersAtOnce)
	w.mendAll()
}

// bothLinks cuts the links of one node, the second while the first is whole
// again but not all programs are back.
func bothLinks(d *deployment, w *workload) {
	for _, other := range d.nodes[1:] {
		cutBothWays(d.nodes[0], other)
		w.waitLost(other, d.nodes[0])
		mend(d.nodes[0], other)
		w.waitProgress(callersAtOnce)
	}
	w.waitWhole()
}

// mendAll ends all cuts and waits until all nodes hear each other.
func (w *workload) mendAll() {
	w.t.Helper()
	for _, a := range w.d.nodes {
		for _, b := range w.d.nodes {
			mend(a, b)
		}
	}
	w.waitWhole()
}

// waitLost waits until a node counts another as dead.
func (w *workload) waitLost(observer, lost *nodeProcess) {
	w.t.Helper()
	waitUntil(w.t, observer.name+" counts "+lost.name+" as dead", func(context.Context) bool {
		member, known := observer.Members().Member(lost.name)
		return known && member.State == membership.Dead
	})
}

// waitWhole waits until every node counts every other as alive.
func (w *workload) waitWhole() {
	w.t.Helper()
	for _, observer := range w.d.nodes {
		waitUntil(w.t, observer.name+" hears all nodes", func(context.Context) bool {
			for _, other := range w.d.nodes {
				member, known := observer.Members().Member(other.name)
				if !known || member.State != membership.Alive {
					return false
				}
			}
			return true
		})
	}
}
