package relay_test

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/platform"
)

// TestInvalidEntriesAreNoPeers mixes valid entries of nodes with malformed ones that no node wrote.
func TestInvalidEntriesAreNoPeers(t *testing.T) {
	store := operators.NewStore()
	defer store.Server.Close()
	for node, value := range map[string]any{
		"a": "no record", "b": map[string]any{}, "c": map[string]any{"address": 7}, "d": map[string]any{"address": "host:80"},
		"e": map[string]any{"address": "10.0.0.1:0"}, "f": map[string]any{"address": "10.0.0.2:7"},
		"g": map[string]any{"address": "10.0.0.3:7", "processors": -4}, "h": map[string]any{"address": "10.0.0.4:7", "processors": 1e300},
		"i": map[string]any{"address": "10.0.0.5:7", "processors": "many"}, "j": json.RawMessage("null"),
	} {
		store.Put("relay-members", "zone-a", node, value)
	}
	directory := relay.Directory{Table: platform.NewStore(store.Address(), nil), Node: "own", Zones: []string{"zone-a"}, Address: "10.0.0.9:7"}
	listing, err := directory.Peers(t.Context())
	if err != nil || !listing.Complete() {
		t.Fatal(listing.Unread, err)
	}
	var addresses []string
	for _, peer := range listing.Peers {
		addresses = append(addresses, peer.Address)
		if !(peer.Processors >= 0 && peer.Processors <= 1024) {
			t.Errorf("peer %+v: processors are not within 0 and 1024", peer)
		}
	}
	slices.Sort(addresses)
	if want := []string{"10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"}; !slices.Equal(addresses, want) {
		t.Errorf("peers are %q, want %q", addresses, want)
	}
}
