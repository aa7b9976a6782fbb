package zonefeed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Settings of asking other processes for what is newer, once neither the watcher of the zone nor the service
// tells it.
const (
	// catchUpTime is how long such a question may take: a way between regions and back is 24 ms, and a reply of
	// 30 KB takes 10 ms more on the slowest link. It is not taken from the time of the call that failed, which
	// is over by then.
	catchUpTime = 300 * time.Millisecond
	// nearWait is how long a nearer process is waited for once one has named a newer version.
	nearWait = 30 * time.Millisecond
	// askedOfZone, askedOfRegion and askedOfOthers are how many processes are asked at a time: of the own zone, of
	// the other zones of the own region, and of other regions. All at once, since those that are lost cost
	// their whole time. A process may be cut off from each of the three.
	askedOfZone, askedOfRegion, askedOfOthers = 2, 2, 1
	// settled is how long after a list, or after a service forgot its history, a process tells others nothing
	// that it does not vouch for: lists that are stale are corrected after 3.5 s.
	settled = 5 * time.Second
)

// Neighbours are the other processes, by how far they are.
type Neighbours struct{ Zone, Region, Others []string }

// SetNeighbours names the processes that are asked for what is newer while nobody vouches for anything, and how
// they are asked.
func (f *Feed) SetNeighbours(client asker, neighbours Neighbours) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.neighbour, f.neighbours = client, neighbours
}

// drawn returns so many of the addresses.
func drawn(addresses []string, count int) []string {
	shuffled := slices.Clone(addresses)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(count, len(shuffled))]
}

// catchUp asks some processes which version of a table they know, and the nearest that knows a newer one for
// what changed. It reports whether there was any. What it learns is not confirmed: there may be something newer
// still. Rows are asked of one process only, since they may be large.
func (f *Feed) catchUp(ctx context.Context, name string, after uint64) (told, bool) {
	client, asked := f.whomToAsk()
	if client == nil {
		return told{}, false
	}
	address, found := f.nearestNewer(ctx, client, asked, name, after)
	if !found {
		return told{}, false
	}
	ctx, cancel := f.ownTime(ctx, catchUpTime)
	defer cancel()
	learnt, err := f.askAsKnown(ctx, client, address, &wirepb.FollowTable{Table: name, After: after, AsKnown: true, ReadsPacked: true})
	if err != nil {
		f.noteNeighbours(err)
		return told{}, false
	}
	return learnt, f.tookAsKnown(address, name, after, learnt)
}

// whomToAsk returns the processes to ask, the nearest first, but for the one that told something last: a process
// that is cut off from most finds one that it reaches by chance, and keeps to it.
func (f *Feed) whomToAsk() (asker, []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	asked := slices.Concat(drawn(f.neighbours.Zone, askedOfZone), drawn(f.neighbours.Region, askedOfRegion), drawn(f.neighbours.Others, askedOfOthers))
	if f.helpful != "" && !slices.Contains(asked, f.helpful) {
		asked = slices.Insert(asked, 0, f.helpful)
	}
	return f.neighbour, asked
}

// nearestNewer asks processes, the nearest first in the list, for the version that they know, and returns the
// nearest that knows a newer one: of those that have answered when the first word of a newer one is
// nearWait old.
func (f *Feed) nearestNewer(ctx context.Context, client asker, asked []string, name string, after uint64) (string, bool) {
	ctx, cancel := f.ownTime(ctx, catchUpTime)
	defer cancel()
	type reply struct {
		place   int // among the asked
		version uint64
		err     error
	}
	replies := make(chan reply, len(asked))
	for place, address := range asked {
		go func() {
			told, err := f.askAsKnown(ctx, client, address, &wirepb.FollowTable{Table: name, After: after, AsKnown: true, VersionOnly: true})
			replies <- reply{place, told.version, err}
		}()
	}
	best := len(asked)
	var last error
	var enough <-chan time.Time
	for range asked {
		select {
		case got := <-replies:
			last = errors.CombineErrors(got.err, last)
			if got.err == nil {
				f.noteNewest(name, got.version)
			}
			if got.err == nil && got.version > after && got.place < best {
				best = got.place
				enough = time.After(nearWait)
			}
		case <-enough:
			return asked[best], true
		}
		if best == 0 {
			break
		}
	}
	f.noteNeighbours(last)
	if best == len(asked) {
		return "", false
	}
	return asked[best], true
}

// ownTime returns a context for a question with a time of its own, that of its caller's call being over, or due to
// be over. It ends with the feed.
func (f *Feed) ownTime(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := progress.WithLimits(context.WithoutCancel(ctx), progress.Limits{First: limit, Silence: limit, Most: answerMost})
	stop := context.AfterFunc(f.closing, cancel)
	return ctx, func() { stop(); cancel() }
}

// askAsKnown asks one process for what it knows.
func (f *Feed) askAsKnown(ctx context.Context, client asker, address string, question *wirepb.FollowTable) (told, error) {
	reply, err := client.Do(ctx, address, &wirepb.Request{From: f.options.Node, Body: &wirepb.Request_FollowTable{FollowTable: question}}, nil)
	switch {
	case err != nil:
		return told{}, errors.Wrapf(err, "peer %s", address)
	case api.Code(reply.GetCode()) != api.OK:
		return told{}, errors.Wrapf(errDeclined, "peer %s: %s", address, reply.GetDetail())
	}
	answer, err := decode(question, reply.GetBody())
	if err != nil {
		f.options.Observer.WatchDropped(address, err)
	}
	return answer, err
}

// noteNewest keeps the newest version that another process named.
func (f *Feed) noteNewest(name string, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.table(name)
	known.newest = max(known.newest, version)
}

// noteNeighbours keeps why no process told anything newer; nil if all had nothing newer.
func (f *Feed) noteNeighbours(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failed.Neighbours = reasonOf(err)
}

// tookAsKnown takes what a process knows of a table, and reports whether it is newer than a version. Rows and
// version go together: the other has every change up to its version.
func (f *Feed) tookAsKnown(from, name string, after uint64, known told) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failed.Neighbours = ""
	if known.gone || known.version <= after || len(known.rows) == 0 {
		return false
	}
	f.learnt.Add(1)
	f.helpful = from
	f.table(name).journal.changed(known.rows, known.version)
	return true
}

// asKnown answers a process that has no other word of a table.
func (f *Feed) asKnown(question *wirepb.FollowTable) *wirepb.Reply {
	f.mutex.Lock()
	known := f.table(question.GetTable())
	rows, complete := known.journal.after(question.GetAfter())
	if known.journal.list == 0 || !complete || time.Now().Before(known.settledAt) {
		f.mutex.Unlock()
		return f.decline("nothing is known for sure of what changed")
	}
	followed := f.followed(&known.journal, rows)
	f.mutex.Unlock()
	if question.GetVersionOnly() {
		followed.Rows = nil
		followed.Version = question.GetAfter()
		if len(rows) > 0 {
			followed.Version = rows[len(rows)-1].Revision
		}
	}
	f.answered.Add(1)
	return f.reply(question, followed)
}

// Newest returns the newest version of a row that another process named when it was asked for what it knows.
func (f *Feed) Newest(table string) uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table(table).newest
}

// unconfirmed marks rows that another process told, and why nobody confirms that they are the newest.
func unconfirmed(cause error) error {
	return errors.Mark(errors.Wrap(cause, "learnt from another process"), tablestore.ErrUnconfirmed)
}
