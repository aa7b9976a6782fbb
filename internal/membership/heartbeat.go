package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

func compareNames(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// digestOf sums hashes of the live members' names and incarnations, so that
// the order does not matter.
func digestOf(members []Member) uint32 {
	var sum uint32
	for _, member := range members {
		if member.State != Dead {
			hash := xxhash.Sum64String(member.Name) ^ member.Incarnation*xxhashPrime
			sum += uint32(hash ^ hash>>32)
		}
	}
	return sum
}

// xxhashPrime spreads incarnations, which differ in few bits, over the digest.
const xxhashPrime = 11400714785074694791

// round returns the messages of one heartbeat round: to every member, to the
// dead ones less often, to addresses learned from others, and to seeds at which
// no live member is known.
func (c *Core) round() []Message {
	c.sequence++
	var messages []Message
	reached := map[string]bool{c.self.Address: true}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		known := c.records[name]
		if known.member.State == Dead && c.beat%probeEveryBeats != 0 {
			continue
		}
		messages = append(messages, c.messageTo(known))
		reached[known.member.Address] = true
	}
	for _, address := range c.addressesToTry() {
		if reached[address] {
			continue
		}
		reached[address] = true
		heartbeat := c.heartbeat()
		heartbeat.Introduce = true
		c.introduce(heartbeat)
		messages = append(messages, Message{Address: address, Heartbeat: heartbeat})
	}
	return messages
}

// addressesToTry lists candidates and seeds.
func (c *Core) addressesToTry() []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(c.candidates)) {
		addresses = append(addresses, c.candidates[name].address)
	}
	return append(addresses, c.config.Seeds...)
}

// messageTo returns a heartbeat for a known member, with what it lacks. A dead
// member may have forgotten this node, so it is sent everything.
func (c *Core) messageTo(known *record) Message {
	heartbeat := c.heartbeat()
	heartbeat.Introduce = known.lacksDetails()
	if !known.introduced || known.member.State == Dead {
		c.introduce(heartbeat)
	}
	if c.addressesDue(known) {
		known.listedDigest = c.digest
		known.listedBeat = c.beat
		heartbeat.Members = c.liveAddresses(known.member.Name)
	}
	return Message{Address: known.member.Address, Node: known.member.Name, Heartbeat: heartbeat}
}

// heartbeat returns the part that every receiver gets.
func (c *Core) heartbeat() *wirepb.Heartbeat {
	return &wirepb.Heartbeat{
		Node:          c.self.Name,
		Incarnation:   c.self.Incarnation,
		Sequence:      c.sequence,
		Leaving:       c.leaving(),
		BundleVersion: c.self.BundleVersion,
		Programs:      uint32(c.self.Programs),
		Ready:         c.self.Ready,
		Digest:        c.digest,
		// Of names that are no members nobody needs to hear.
		LeavingMembers: c.hintedMembers(),
	}
}

// hintedMembers lists the members that the machine list calls leaving, as far
// as this node was told.
func (c *Core) hintedMembers() []string {
	var names []string
	for name := range c.hints {
		if c.records[name] != nil || name == c.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// introduce adds what a receiver needs that does not know this node.
func (c *Core) introduce(heartbeat *wirepb.Heartbeat) {
	heartbeat.Zone = c.self.Zone
	heartbeat.Address = c.self.Address
	heartbeat.Cell = c.self.Cell
}

// addressesDue tells whether the member may lack members that this node hears.
func (c *Core) addressesDue(known *record) bool {
	if known.member.State == Dead || known.digest == c.digest {
		return false
	}
	return known.listedDigest != c.digest || c.beat-known.listedBeat >= addressesEveryBeats
}

// liveAddresses lists the live members heard, but for the receiver.
func (c *Core) liveAddresses(receiver string) []*wirepb.MemberAddress {
	var addresses []*wirepb.MemberAddress
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		member := c.records[name].member
		if name == receiver || member.State == Dead {
			continue
		}
		addresses = append(addresses, &wirepb.MemberAddress{
			Node: name, Address: member.Address, Incarnation: member.Incarnation,
		})
	}
	return addresses
}

// learnAddresses notes members that others hear and this node does not know,
// or knows only by an older start.
func (c *Core) learnAddresses(addresses []*wirepb.MemberAddress) {
	for _, learned := range addresses {
		name := learned.GetNode()
		if name == "" || name == c.self.Name || learned.GetAddress() == "" {
			continue
		}
		known := c.records[name]
		if known != nil && known.member.Incarnation >= learned.GetIncarnation() {
			continue
		}
		if c.candidates[name].incarnation > learned.GetIncarnation() {
			continue
		}
		c.candidates[name] = candidate{
			address:     learned.GetAddress(),
			incarnation: learned.GetIncarnation(),
			expiresBeat: c.beat + candidateBeats,
		}
	}
}
