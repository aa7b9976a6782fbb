package membership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions of a cell.
const Partitions = 256

// View is an immutable snapshot of the cell. Safe for concurrent use.
type View struct {
	// Members are all known members by name, including this node and dead ones.
	Members []Member

	routable      []string            // names of members that may own partitions, sorted
	memberIndexes []uint16            // their indexes in Members
	owners        *[Partitions]uint16 // indexes into routable and memberIndexes
}

// Owner returns the member that should own the partition, by rendezvous
// hashing over the members that may own partitions; false if there is none or
// the partition is out of range.
func (v *View) Owner(partition int) (Member, bool) {
	if len(v.routable) == 0 || partition < 0 || partition >= Partitions {
		return Member{}, false
	}
	return v.Members[v.memberIndexes[v.owners[partition]]], true
}

// Duty returns the member that has the duty of that name. A duty is a singleton
// task of the cell, such as observing one engine. It is assigned by rendezvous
// hashing over the members that may own partitions; false if there is none. Two
// nodes may both act as the one that has a duty temporarily.
func (v *View) Duty(name string) (Member, bool) {
	if len(v.routable) == 0 {
		return Member{}, false
	}
	best, bestWeight := 0, uint64(0)
	for index, member := range v.routable {
		if weight := dutyWeight(member, name); index == 0 || weight > bestWeight {
			best, bestWeight = index, weight
		}
	}
	return v.Members[v.memberIndexes[best]], true
}

// SameDuties reports whether both views assign every duty to the same member.
// It may return false although they do.
func (v *View) SameDuties(other *View) bool {
	return other != nil && v.owners == other.owners
}

// Alive reports whether that incarnation of the member may still be serving.
func (v *View) Alive(name string, incarnation uint64) bool {
	index, found := v.find(name)
	return found && v.Members[index].State != Dead && v.Members[index].Incarnation == incarnation
}

// Member returns the member with that name; false if there is none.
func (v *View) Member(name string) (Member, bool) {
	index, found := v.find(name)
	if !found {
		return Member{}, false
	}
	return v.Members[index], true
}

func (v *View) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.Members, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
}

// newView creates a view of members, which are sorted by name. It reuses the
// owners of the previous view if the same members may own partitions.
func newView(members []Member, previous *View) *View {
	view := &View{Members: members}
	for index, member := range members {
		if member.routable() {
			view.routable = append(view.routable, member.Name)
			view.memberIndexes = append(view.memberIndexes, uint16(index))
		}
	}
	if previous != nil && slices.Equal(previous.routable, view.routable) {
		view.owners = previous.owners
	} else {
		view.owners = hashOwners(view.routable)
	}
	return view
}

// hashOwners returns the owner of every partition as an index into names.
func hashOwners(names []string) *[Partitions]uint16 {
	owners := &[Partitions]uint16{}
	for partition := range owners {
		owners[partition] = uint16(rendezvous(names, partition))
	}
	return owners
}

// rendezvous returns the index of the name with the highest weight for the
// partition. If a member is removed, only its own partitions move.
func rendezvous(names []string, partition int) int {
	best, bestWeight := 0, uint64(0)
	for index, name := range names {
		weight := rendezvousWeight(name, partition)
		if index == 0 || weight > bestWeight {
			best, bestWeight = index, weight
		}
	}
	return best
}

func dutyWeight(member, duty string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(member) // never fails
	_, _ = digest.WriteString("\n")
	_, _ = digest.WriteString(duty)
	return digest.Sum64()
}

func rendezvousWeight(name string, partition int) uint64 {
	var suffix [4]byte
	binary.BigEndian.PutUint32(suffix[:], uint32(partition))
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name) // never fails
	_, _ = digest.Write(suffix[:])
	return digest.Sum64()
}
