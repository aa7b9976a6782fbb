package zonewatch

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// lateLink is a network on which all that comes from another region is late, as behind a large answer on the link.
type lateLink struct {
	*network
	zones []string // of the other region
	delay time.Duration
}

// Do implements client.
func (l lateLink) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	zone, _, _ := strings.Cut(address, "-")
	if slices.Contains(l.zones, zone) {
		select {
		case <-time.After(l.delay): // virtual
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return l.network.Do(ctx, address, request, onPart)
}

// TestLateLinkIsNoLostZone delays the answers of another region and of the store, which stands there, as a queue on the
// link between the regions does. Everybody answers, so no zone may be suspected, and this node must not count as isolated.
func TestLateLinkIsNoLostZone(t *testing.T) {
	otherRegion := []string{"d", "e", "f"}
	for _, delay := range []time.Duration{100, 300, 450} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newTestWatch(ctx)
				w.network.change(func() {
					w.network.zones = peersOf(5, "a", "b", "c", "d", "e", "f")
					w.network.storeDelay = delay
				})
				w.client = NewObservedClient(lateLink{w.network, otherRegion, delay}, w.Watch)
				w.watchPeers()
				for range int(2 * time.Second / requestPause) {
					for _, zone := range otherRegion {
						go func() {
							ctx, cancel := context.WithTimeout(ctx, 150*time.Millisecond) // as for limits and loads
							defer cancel()
							_, _ = w.client.Do(ctx, zone+"-0", &wirepb.Request{}, nil) // the client reports the result to the watch
						}()
					}
					w.sendRound()
				}
				time.Sleep(time.Second) // virtual time, in which the last requests end
				for _, change := range w.recorded() {
					t.Errorf("%s %s after %s without a response, of %s on the link", change.Kind, change.Zone, change.Duration, delay)
				}
			})
		})
	}
}
