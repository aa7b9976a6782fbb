package membership

import "time"

// Defaults for unset fields of Config.
const (
	DefaultHeartbeatEvery = time.Second
	DefaultSuspectAfter   = 2 * time.Second
	DefaultDeadAfter      = 3 * time.Second
	// DefaultDeadAfterRefusal allows for one heartbeat that is late by half a
	// period.
	DefaultDeadAfterRefusal = 1500 * time.Millisecond
)

const (
	// forgetAfter is how long a dead member is still probed.
	forgetAfter = 5 * time.Minute
	// probeEveryBeats is the number of heartbeat rounds between two probes of
	// a dead member.
	probeEveryBeats = 5
	// addressesEveryBeats is the number of heartbeat rounds after which
	// addresses are sent again to a member whose digest still differs.
	addressesEveryBeats = 5
	// ticksPerBeat is the minimum number of calls of Tick in one heartbeat
	// period. Longer gaps count as pauses of this node.
	ticksPerBeat = 4
	// candidateBeats is the number of heartbeat rounds in which heartbeats are
	// sent to an address learned from others.
	candidateBeats = 10
)

// State is a member's state as this node sees it.
type State int

// States of a member. Alive, Suspect and Leaving members may be serving.
const (
	Alive State = iota
	Suspect
	// Leaving: the member itself or the machine list announced that it
	// stops. It gets no new programs.
	Leaving
	Dead
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is one incarnation of a node, as this node sees it.
type Member struct {
	Name, Zone, Address, Cell string
	// Incarnation is higher for a later start of the same name. Unix
	// milliseconds of the start are suitable and stay small on the wire.
	Incarnation   uint64
	State         State
	BundleVersion uint64
	Programs      int
	// Ready: the member reports that it takes programs.
	Ready bool
	// Returning: the member was dead, its heartbeats arrive again, and it
	// owns no partitions until they have arrived for DeadAfter.
	Returning bool
	// LastHeartbeat is when the last heartbeat arrived; for the node itself,
	// when the view was created.
	LastHeartbeat time.Time
}

// routable reports whether the member may own partitions.
func (m Member) routable() bool {
	return (m.State == Alive || m.State == Suspect) && m.Ready && !m.Returning
}

// sameExceptCounters reports whether the members differ at most in counters and times.
func (m Member) sameExceptCounters(other Member) bool {
	m.Programs, other.Programs = 0, 0
	m.LastHeartbeat, other.LastHeartbeat = time.Time{}, time.Time{}
	return m == other
}

// Config describes this node and its intervals.
type Config struct {
	// Self sets name, zone, address, cell and incarnation.
	Self Member
	// Intervals; 0 means the default.
	HeartbeatEvery, SuspectAfter, DeadAfter time.Duration
	// DeadAfterRefusal is the time without a heartbeat after which a member
	// is dead if it refuses connections; 0 means the default.
	DeadAfterRefusal time.Duration
	// Seeds are addresses of initial members, written as the members
	// themselves announce them. This node's own address may be among them.
	Seeds []string
}

// withDefaults returns the configuration with unset intervals filled in.
func (c Config) withDefaults() Config {
	if c.HeartbeatEvery == 0 {
		c.HeartbeatEvery = DefaultHeartbeatEvery
	}
	if c.SuspectAfter == 0 {
		c.SuspectAfter = DefaultSuspectAfter
	}
	if c.DeadAfter == 0 {
		c.DeadAfter = DefaultDeadAfter
	}
	if c.DeadAfterRefusal == 0 {
		c.DeadAfterRefusal = DefaultDeadAfterRefusal
	}
	return c
}
