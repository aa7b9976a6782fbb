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
	// Members are all known members, this node and dead ones too, by name.
	Members []Member

	routable []string            // names of members that may own partitions, sorted
	places   []uint16            // their indexes in Members
	owners   *[Partitions]uint16 // indexes into routable and places
}

// Owner returns the member that should own the partition, by rendezvous
// hashing over the members that may own partitions; false if there is none or
// the partition is out of range.
func (v *View) Owner(partition int) (Member, bool) {
	if len(v.routable) == 0 || partition < 0 || partition >= Partitions {
		return Member{}, false
	}
	return v.Members[v.places[v.owners[partition]]], true
}

// Duty returns the member that has the duty of that name: work that one
// member of the cell is to do, such as to observe one engine. It is chosen by
// rendezvous hashing over the members that may own partitions; false if there
// is none. Two nodes may believe that they have the same duty for a while.
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
	return v.Members[v.places[best]], true
}

// SameDuties tells whether every duty is the same member's in both views.
func (v *View) SameDuties(other *View) bool {
	return other != nil && v.owners == other.owners
}

// Alive tells whether that start of the member may still be serving.
func (v *View) Alive(name string, incarnation uint64) bool {
	index, found := v.find(name)
	return found && v.Members[index].State != Dead && v.Members[index].Incarnation == incarnation
}

// Member returns the member of that name.
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

// newView makes a view of members sorted by name. The hashes of the view
// before it are used again if the same members may own partitions.
func newView(members []Member, before *View) *View {
	view := &View{Members: members}
	for place, member := range members {
		if member.routable() {
			view.routable = append(view.routable, member.Name)
			view.places = append(view.places, uint16(place))
		}
	}
	if before != nil && slices.Equal(before.routable, view.routable) {
		view.owners = before.owners
	} else {
		view.owners = hashOwners(view.routable)
	}
	return view
}

// hashOwners hashes every partition over the names.
func hashOwners(names []string) *[Partitions]uint16 {
	owners := &[Partitions]uint16{}
	for partition := range owners {
		owners[partition] = uint16(rendezvous(names, partition))
	}
	return owners
}

// rendezvous returns the index of the name with the highest weight for the
// partition, so that a member's partitions alone move when it goes.
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
