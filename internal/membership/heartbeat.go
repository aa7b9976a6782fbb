package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

func compareNames(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// digestOf returns the sum of hashes of the live members' names and
// incarnations, which does not depend on the order.
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

// round returns the messages of one heartbeat round: to every live member, to
// dead ones every probeEveryBeats rounds, to addresses learned from others, and
// to seeds at whose address there is no live member.
func (c *Core) round() []Message {
	c.sequence++
	var messages []Message
	addressed := map[string]bool{c.self.Address: true}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		peer := c.records[name]
		if peer.member.State == Dead && c.beat%probeEveryBeats != 0 {
			continue
		}
		messages = append(messages, c.messageTo(peer))
		addressed[peer.member.Address] = true
	}
	for _, address := range c.addressesToTry() {
		if addressed[address] {
			continue
		}
		addressed[address] = true
		heartbeat := c.heartbeat()
		heartbeat.Introduce = true
		c.introduce(heartbeat)
		messages = append(messages, Message{Address: address, Heartbeat: heartbeat})
	}
	return messages
}

// addressesToTry returns the addresses of candidates and seeds.
func (c *Core) addressesToTry() []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(c.candidates)) {
		addresses = append(addresses, c.candidates[name].address)
	}
	return append(addresses, c.config.Seeds...)
}

// messageTo returns a heartbeat for a member, with the details that the member
// lacks. A dead member may have forgotten this node, so it gets all details.
func (c *Core) messageTo(peer *record) Message {
	heartbeat := c.heartbeat()
	heartbeat.Introduce = peer.lacksDetails()
	if !peer.hasOwnDetails || peer.member.State == Dead {
		c.introduce(heartbeat)
	}
	if c.addressesDue(peer) {
		peer.addressesSentDigest = c.digest
		peer.addressesSentBeat = c.beat
		heartbeat.Members = c.liveAddresses(peer.member.Name)
	}
	return Message{Address: peer.member.Address, Node: peer.member.Name, Heartbeat: heartbeat}
}

// heartbeat returns the part of a heartbeat that is the same for all receivers.
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
		// Receivers need only the names of members.
		LeavingMembers: c.listedLeavingMembers(),
	}
}

// listedLeavingMembers returns the members that the machine list marks as
// leaving, according to this node.
func (c *Core) listedLeavingMembers() []string {
	var names []string
	for name := range c.machineLeaving {
		if c.records[name] != nil || name == c.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// introduce adds the details that a receiver needs that does not know this node.
func (c *Core) introduce(heartbeat *wirepb.Heartbeat) {
	heartbeat.Zone = c.self.Zone
	heartbeat.Address = c.self.Address
	heartbeat.Cell = c.self.Cell
}

// addressesDue reports whether the member may lack addresses of live members,
// and has not been sent them recently.
func (c *Core) addressesDue(peer *record) bool {
	if peer.member.State == Dead || peer.digest == c.digest {
		return false
	}
	return peer.addressesSentDigest != c.digest || c.beat-peer.addressesSentBeat >= addressesEveryBeats
}

// liveAddresses returns the addresses of the live members except the receiver.
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

// learnAddresses records as candidates the members that others report and that
// this node does not know, or knows only by an older incarnation.
func (c *Core) learnAddresses(addresses []*wirepb.MemberAddress) {
	for _, learned := range addresses {
		name := learned.GetNode()
		if name == "" || name == c.self.Name || learned.GetAddress() == "" {
			continue
		}
		existing := c.records[name]
		if existing != nil && existing.member.Incarnation >= learned.GetIncarnation() {
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
