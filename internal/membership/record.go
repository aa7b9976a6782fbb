package membership

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// record is the state that Core keeps of another member.
type record struct {
	member              Member
	detailsIncarnation  uint64    // incarnation of which zone, address and cell were received
	sequence            uint64    // of the last heartbeat
	digest              uint32    // in the last heartbeat
	hasOwnDetails       bool      // the member has this node's zone, address and cell
	leaving             bool      // as the member itself announces
	listedLeaving       []string  // members that the machine list marks as leaving, as this member reports
	lastReceived        time.Time // time of the last heartbeat, moved later by pauses of this node
	receivingSince      time.Time // since when heartbeats have arrived without a gap
	refusedAt           time.Time // when a connection to it was last refused
	brokeBefore         bool      // it had closed a connection before that
	diedAt              time.Time // valid while dead
	addressesSentDigest uint32    // own digest when addresses were last sent to it
	addressesSentBeat   uint64    // round in which addresses were last sent to it
}

// newRecord returns the record of a new incarnation of a node.
func newRecord(name string, incarnation uint64, now time.Time) *record {
	return &record{
		member:         Member{Name: name, Incarnation: incarnation},
		receivingSince: now,
	}
}

// lacksDetails reports whether zone, address and cell of the member must be requested.
func (r *record) lacksDetails() bool { return r.detailsIncarnation != r.member.Incarnation }

// apply updates the record with a newer heartbeat of the same incarnation.
func (r *record) apply(heartbeat *wirepb.Heartbeat, suspectAfter time.Duration, now time.Time) {
	if r.member.State != Dead && now.Sub(r.lastReceived) >= suspectAfter {
		r.receivingSince = now
	}
	if r.member.State == Dead {
		r.member.Returning = true
		r.receivingSince = now
	}
	r.sequence = heartbeat.GetSequence()
	r.digest = heartbeat.GetDigest()
	r.hasOwnDetails = !heartbeat.GetIntroduce()
	r.leaving = heartbeat.GetLeaving()
	r.listedLeaving = heartbeat.GetLeavingMembers()
	r.lastReceived = now
	r.member.LastHeartbeat = now
	r.member.BundleVersion = heartbeat.GetBundleVersion()
	r.member.Programs = int(heartbeat.GetPrograms())
	r.member.Ready = heartbeat.GetReady()
	if heartbeat.GetAddress() != "" {
		r.detailsIncarnation = heartbeat.GetIncarnation()
		r.member.Zone = heartbeat.GetZone()
		r.member.Address = heartbeat.GetAddress()
		r.member.Cell = heartbeat.GetCell()
	}
}

// hasEnded reports whether a connection was refused after the last heartbeat,
// and DeadAfterRefusal has passed or a connection broke before: the machine runs,
// and no process listens there. A member that has announced that it leaves may
// have closed its listener while it still answers requests.
func (r *record) hasEnded(sinceLast time.Duration, config Config) bool {
	if r.leaving || !r.refusedAt.After(r.lastReceived) {
		return false
	}
	return r.brokeBefore || sinceLast >= config.DeadAfterRefusal
}

// refresh updates the member's state.
func (r *record) refresh(config Config, listedLeaving bool, now time.Time) {
	sinceLast := now.Sub(r.lastReceived)
	before := r.member.State
	switch {
	case sinceLast >= config.DeadAfter, r.hasEnded(sinceLast, config):
		r.member.State = Dead
	case r.leaving || listedLeaving:
		r.member.State = Leaving
	case sinceLast >= config.SuspectAfter:
		r.member.State = Suspect
	default:
		r.member.State = Alive
	}
	if r.member.State == Dead && before != Dead {
		r.diedAt = now
		r.member.Returning = false
	}
	if r.member.State != Dead && now.Sub(r.receivingSince) >= config.DeadAfter {
		r.member.Returning = false
	}
}
