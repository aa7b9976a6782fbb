package zonefeed

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// TestConfigurationIsLearntFromWhoeverHasIt has the service leave all processes of one zone unanswered, and the
// configuration change again and again. Nobody of the zone can vouch for anything, and all of them go by the newest
// configuration in time, since processes of other zones have it. None of them counts as having heard of the service.
func TestConfigurationIsLearntFromWhoeverHasIt(t *testing.T) {
	runFarRegion(t, 3, func(f *fleet, _ *bandwidth) {
		zone := f.zoneOf(addressOf(0))
		for _, n := range zone {
			n.set(func(n *node) { n.cut = true })
		}
		time.Sleep(3 * time.Second)
		for range 12 {
			f.expect(f.change(), boundInForce)
			time.Sleep(170 * time.Millisecond)
		}
		for _, n := range zone {
			if n.view.Connected() {
				t.Errorf("%s says that the service answers it", n.address)
			}
		}
	})
}

// TestAProcessThatReachesFewLearnsInTime has the service leave a process unanswered, and cuts it off from all other
// processes but three, none of its zone. Each of ten processes, one after the other, has a change in time.
//
// What callers saw: on a day on which the store left half of the processes unanswered and ten of them were cut off
// from the processes of other zones, a process was 3.2 s behind the configuration in force, of 4 s that it may be.
// Such a process asked five others by chance in each call, two of its own zone at most, and the calls are a second
// apart: those that had not answered were asked again as often as the others.
func TestAProcessThatReachesFewLearnsInTime(t *testing.T) {
	const reached = 3
	runFarRegion(t, 3, func(f *fleet, _ *bandwidth) {
		for i := range 10 {
			few := f.nodes[addressOf(i)]
			var reaches []string
			for j := range reached {
				reaches = append(reaches, addressOf(11+(5*i+7*j)%22))
			}
			few.set(func(n *node) { n.cut, n.reaches = true, reaches })
			time.Sleep(700 * time.Millisecond)
			changed, version := time.Now(), f.change()
			for few.inForce() < version && time.Since(changed) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(changed); took > boundInForce {
				t.Errorf("%s, which reaches %v, has a change after %s", few.address, reaches, took)
			}
			few.set(func(n *node) { n.cut, n.reaches = false, nil })
			time.Sleep(5 * time.Second)
		}
	})
}

// TestLonelyProcessKeepsWhatItKnows has the service leave a process unanswered that reaches no other one. It stays at
// what it knew, and has the newest soon after it reaches another one again.
func TestLonelyProcessKeepsWhatItKnows(t *testing.T) {
	runFarRegion(t, 2, func(f *fleet, _ *bandwidth) {
		lonely := f.nodes[addressOf(0)]
		lonely.set(func(n *node) { n.cut, n.apart = true, true })
		version := f.change()
		f.expect(version, boundInForce, lonely)
		time.Sleep(5 * time.Second)
		if got := lonely.inForce(); got >= version {
			t.Errorf("knows version %d, which nobody told it", got)
		}
		lonely.set(func(n *node) { n.apart = false })
		f.expect(version, boundInForce)
	})
}

// zoneOf returns the processes of a region that know each other as of one zone.
func (f *fleet) zoneOf(address string) []*node {
	zone := []*node{f.nodes[address]}
	for _, other := range f.nodes[address].feed.around.known.Zone {
		zone = append(zone, f.nodes[other])
	}
	return zone
}

// TestUnsettledListIsNotToldUnvouched asks a process for what it knows. It tells that once its list has settled, and
// not for a while after the service has forgotten its history, since the list that follows may be stale.
func TestUnsettledListIsNotToldUnvouched(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		n := f.nodes[addressOf(0)]
		ask := func(after uint64) *wirepb.Reply {
			return n.feed.Answer(f.ctx, &wirepb.FollowTable{Table: "table", After: after, AsKnown: true}, func() {})
		}
		version := f.change()
		f.expect(version, boundInForce)
		time.Sleep(settled)
		if reply := ask(version - 1); reply.GetCode() != int32(api.OK) {
			t.Errorf("a settled list is declined: %s", reply.GetDetail())
		}
		f.store.set(func(s *store) { s.version++; s.forgotten = s.version })
		f.expect(version+1, boundInForce+time.Second)
		if reply := ask(version); reply.GetCode() == int32(api.OK) {
			t.Error("a list that may be stale is told")
		}
		time.Sleep(2 * settled)
		if reply := ask(version + 1); reply.GetCode() != int32(api.OK) {
			t.Errorf("a settled list is declined: %s", reply.GetDetail())
		}
	})
}

// TestPackedRowsAreTheSame packs drawn rows and reads them again.
func TestPackedRowsAreTheSame(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(39)
	properties := gopter.NewProperties(parameters)
	properties.Property("what is read is what was packed", prop.ForAll(func(keys []string, values []string, version, list uint64, gone bool) bool {
		said := &wirepb.TableFollowed{Version: version, List: list, Run: 7, HistoryGone: gone}
		for i, key := range keys {
			row := &wirepb.TableFollowed_Row{Key: key, Revision: uint64(i), Gone: i%3 == 0}
			if i < len(values) {
				row.Value = []byte(values[i])
			}
			said.Rows = append(said.Rows, row)
		}
		body, err := pack(said)
		if err != nil {
			return false
		}
		var read wirepb.TableFollowed
		return proto.Unmarshal(body, &read) == nil && unpack(&read) == nil && proto.Equal(said, &read)
	}, gen.SliceOf(gen.AnyString()), gen.SliceOf(gen.AnyString()), gen.UInt64(), gen.UInt64(), gen.Bool()))
	properties.TestingRun(t)
}

// TestNonsenseIsNotUnpacked reads bytes that are no packed rows, and rows that come to more than any table has.
func TestNonsenseIsNotUnpacked(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(40)
	properties := gopter.NewProperties(parameters)
	properties.Property("nonsense is an error or rows", prop.ForAll(func(nonsense []byte) bool {
		read := &wirepb.TableFollowed{PackedRows: nonsense}
		return unpack(read) != nil || len(read.GetPackedRows()) == 0
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, maxUnpacked+1)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := unpack(&wirepb.TableFollowed{PackedRows: bomb.Bytes()}); !errors.Is(err, errTooMuch) {
		t.Errorf("%d bytes that come to %d: %v", bomb.Len(), maxUnpacked+1, err)
	}
}
