// Package quota counts the requests of each tenant over all nodes and keeps them within the
// tenant's limit.
//
// Tenants are spread over shards by a hash of their names. One node, the shard's holder, keeps an
// Account for each of the shard's tenants: a token bucket. Every node has a Share of each tenant's
// tokens that it needs. A request takes a token of the share; a share without tokens requests some
// from the holder. A row of the table service states which node holds a shard, so that all nodes
// agree on it: the row is written on condition that it is unchanged, renewed by its holder, and
// taken over once it is no longer renewed.
//
// A node that does not reach a shard's holder continues in local mode, with its even share of the
// limit. So does the holder itself once it reaches no peer.
//
// Account, Share and lease are pure: they do no I/O and have no clock. Client and LeaseManager run
// them in a node. docs/design/quotas.md compares the designs and describes the effect of a lost
// holder, an isolated node and an outage of the table service on the count.
package quota

import (
	"time"
)

// Limit is a tenant's limit in one version of the configuration: in any time span, at most Burst
// requests more than Rate times the span in seconds.
type Limit struct {
	Rate    float64 // requests a second
	Burst   float64 // requests
	Version int64   // of the configuration
}

// Tolerance defines how exactly limits are kept.
type Tolerance struct {
	// Window is the time span over which requests are counted.
	Window time.Duration
	// Fraction and Slack bound the excess over the limit: Fraction times the limit, plus Slack
	// requests.
	Fraction float64
	Slack    float64
}

// DefaultTolerance applies where an operator sets none.
var DefaultTolerance = Tolerance{Window: 5 * time.Second, Fraction: 0.1, Slack: 20}

// Fractions of the tolerated excess. The count stays within the tolerance after a holder is lost,
// and after its successor is lost in the same window as well: headroom + localShare + 2 startShare < 1.
const (
	// headroom is how far the capacity of an account exceeds the burst, so that unused tokens at
	// other nodes cause no refusals, nor a few concurrent programs of a small tenant.
	headroom = 0.5
	// startShare gives the initial tokens of an account whose holder does not know the count
	// before it. It is a debt, because the last holder may just have issued a whole burst.
	startShare = -0.2
	// localShare is what all nodes together, in even shares, may admit beyond the rate while they
	// do not reach the holder.
	localShare = 0.1
	// localRateShare is the fraction of its even share of the rate that a node uses in local mode.
	// The holder may continue at the same time for the nodes that do reach it.
	localRateShare = 0.7
)

// excess returns by how many requests a count over the window may exceed the limit.
func (r Tolerance) excess(limit Limit) float64 {
	return r.Fraction*(limit.Rate*r.Window.Seconds()+limit.Burst) + r.Slack
}

// capacity returns the maximum number of tokens of an account.
func (r Tolerance) capacity(limit Limit) float64 { return limit.Burst + headroom*r.excess(limit) }
