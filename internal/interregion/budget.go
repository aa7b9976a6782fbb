// Package interregion keeps one node's traffic to and from other regions within its share of the
// capacity of the links between regions.
//
// All machines of two regions share the link between them. Traffic counts at the node that sends
// the request: a request to another region and its response are counted there, and nowhere else.
// So every byte is counted once, and half of each direction of a link is for the requests of
// each of its two ends. A region's half is divided evenly among its nodes.
//
// Control messages are always allowed, and counted. Calls are allowed while a quarter of the
// saved share is left, transfers of prompt caches while half of it is. Bytes are counted as they
// are transferred, not reserved in advance: traffic beyond the share reduces the traffic that is
// allowed later.
package interregion

import "time"

// Kind is a kind of inter-region traffic. The kinds are in order of priority, highest first.
type Kind int

// Kinds.
const (
	Control     Kind = iota // messages between nodes
	Calls                   // requests to engines, and their responses
	PromptCache             // transfers of engines' prompt caches
	kinds
)

// String returns the kind's name in metrics.
func (k Kind) String() string { return [...]string{"control", "calls", "memory"}[k] }

// Direction is the direction of traffic, as seen from the node that sends the request.
type Direction int

// Directions.
const (
	Sent Direction = iota
	Received
	directions
)

// String returns the direction's name in metrics.
func (d Direction) String() string { return [...]string{"sent", "received"}[d] }

// Constants of one node's share.
const (
	// senderShare is the fraction of each direction of a link that is for requests from one of
	// its ends.
	senderShare = 0.5
	// maxSaved is the time for which an unused share accrues, so that a response may arrive at once.
	maxSaved = time.Second
	// maxDebt is the maximum time without traffic after too much has been transferred.
	maxDebt = 4 * time.Second
)

// reserve is the fraction of maxSaved that must be available for a kind to be allowed.
var reserve = [kinds]float64{Control: 0, Calls: 0.25, PromptCache: 0.5}

// Budget is one node's share of the links to other regions. The caller passes the time. Not safe
// for concurrent use.
type Budget struct {
	rate  float64 // bytes per second and direction of a link, for all nodes; 0 if no limit is known
	nodes int     // of this node's region
	links map[string]*[directions]account
}

// account is the unused share of one direction of one link.
type account struct {
	balance   float64 // in seconds of the node's share; negative if too much has been transferred
	updatedAt time.Time
}

// NewBudget returns the budget of links with this capacity in each direction; 0 if no limit is
// known.
func NewBudget(bytesPerSecond float64) *Budget {
	return &Budget{rate: max(0, bytesPerSecond), nodes: 1, links: make(map[string]*[directions]account)}
}

// SetNodes sets the number of nodes of this node's region, this node included.
func (b *Budget) SetNodes(nodes int) { b.nodes = max(1, nodes) }

// NodeRate returns this node's share in bytes per second and direction; 0 if no limit is known.
func (b *Budget) NodeRate() float64 { return b.rate * senderShare / float64(b.nodes) }

// Spend counts bytes transferred to or from a region.
func (b *Budget) Spend(region string, direction Direction, bytes int, now time.Time) {
	if b.rate == 0 {
		return
	}
	account := b.account(region, direction, now)
	account.balance = max(-maxDebt.Seconds(), account.balance-float64(bytes)/b.NodeRate())
}

// Allows reports whether traffic of a kind to a region and back is allowed now.
func (b *Budget) Allows(region string, kind Kind, now time.Time) bool {
	if b.rate == 0 || kind == Control {
		return true
	}
	for direction := range directions {
		if b.account(region, direction, now).balance < reserve[kind]*maxSaved.Seconds() {
			return false
		}
	}
	return true
}

// account returns an account, updated to now. A new one is full.
func (b *Budget) account(region string, direction Direction, now time.Time) *account {
	link := b.links[region]
	if link == nil {
		link = &[directions]account{}
		for i := range link {
			link[i] = account{balance: maxSaved.Seconds(), updatedAt: now}
		}
		b.links[region] = link
	}
	account := &link[direction]
	if passed := now.Sub(account.updatedAt); passed > 0 {
		account.balance = min(maxSaved.Seconds(), account.balance+passed.Seconds())
		account.updatedAt = now
	}
	return account
}
