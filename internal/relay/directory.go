package relay

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Directory publishes each node's address, and the secret that all nodes share, in the table
// service, so that nodes find each other while they reach it.
type Directory struct {
	Table   tablestore.Table
	Node    string
	Zones   []string // all zones, the node's own first, then the nearest
	Address string   // where this node answers peers
	// Processors is the processor time available on the node's machine, in cores; 0 if unknown.
	Processors float64
}

// Bounds of the directory.
const (
	secretBytes    = 32
	secretKey      = "relay-secret//current"
	maxListed      = 500
	listCallLimit  = time.Second
	secretAttempts = 3
	maxProcessors  = 1024 // cores; work is assigned in proportion, so an entry that claims more would attract all of it
)

// member is a node's entry.
type member struct {
	Address    string  `json:"address"`
	Processors float64 `json:"processors,omitempty"`
}

// Peer is another node, as it is listed.
type Peer struct {
	Zone       string
	Address    string
	Processors float64 // of its machine, in cores; 0 if unknown
}

// Listing is what one read of the directory showed.
type Listing struct {
	Peers  []Peer   // the zones in the order of Directory.Zones, and within a zone in an order that differs from node to node
	Unread []string // zones that could not be read, of which Peers has none
}

// Complete reports whether all zones were read.
func (l Listing) Complete() bool { return len(l.Unread) == 0 }

// memberKey is the key of a node's entry.
func memberKey(zone, node string) string { return "relay-members/" + zone + "/" + node }

// Secret returns the secret that all nodes share. The first node that calls it creates the secret.
func (d Directory) Secret(ctx context.Context) ([]byte, error) {
	generated := make([]byte, secretBytes)
	if _, err := rand.Read(generated); err != nil {
		return nil, errors.Wrap(err, "generate the shared secret")
	}
	var lastErr error
	for range secretAttempts {
		_, err := d.commit(ctx, secretKey, 0, generated)
		var conflict *tablestore.ConflictError
		switch {
		case err == nil:
			return generated, nil
		case errors.As(err, &conflict) && len(conflict.Current.Value) > 0:
			return conflict.Current.Value, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "read or create the shared secret")
}

// Join writes this node's entry and replaces that of an earlier process of the node.
func (d Directory) Join(ctx context.Context) error {
	value, err := json.Marshal(member{Address: d.Address, Processors: d.Processors})
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	key := memberKey(d.Zones[0], d.Node)
	_, err = d.commit(ctx, key, 0, value)
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		if string(conflict.Current.Value) == string(value) {
			return nil
		}
		_, err = d.commit(ctx, key, conflict.Current.Revision, value)
	}
	return errors.Wrap(err, "join the directory")
}

// Peers returns the other nodes. Zones that cannot be read are left out; it is an error if no node is found then.
func (d Directory) Peers(ctx context.Context) (Listing, error) {
	listed, errs := make([][]Peer, len(d.Zones)), make([]error, len(d.Zones))
	var reads sync.WaitGroup
	for i, zone := range d.Zones {
		reads.Go(func() { listed[i], errs[i] = d.zonePeers(ctx, zone) })
	}
	reads.Wait()
	listing := Listing{Peers: slices.Concat(listed...)}
	for i, zone := range d.Zones {
		if errs[i] != nil {
			listing.Unread = append(listing.Unread, zone)
		}
	}
	if len(listing.Peers) == 0 && !listing.Complete() {
		return Listing{}, errors.Wrap(errors.Join(errs...), "list the directory")
	}
	return listing, nil
}

// zonePeers returns the other nodes of one zone.
func (d Directory) zonePeers(ctx context.Context, zone string) ([]Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, listCallLimit)
	defer cancel()
	rows, err := tablestore.ReadAll(ctx, d.Table, memberKey(zone, ""), memberKey(zone, "\x7f"), maxListed)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	ownKey := memberKey(zone, d.Node)
	start, _ := slices.BinarySearchFunc(rows, ownKey, func(row tablestore.Row, key string) int {
		return strings.Compare(row.Key, key)
	})
	var peers []Peer
	for i := range rows {
		var entry member
		row := rows[(start+i)%len(rows)]
		if json.Unmarshal(row.Value, &entry) == nil && isAddress(entry.Address) && entry.Address != d.Address {
			peers = append(peers, Peer{Zone: zone, Address: entry.Address, Processors: max(0, min(entry.Processors, maxProcessors))})
		}
	}
	return peers, nil
}

// isAddress reports whether a text is an IP address and a port. An entry without one was not written by a
// node: requests to it would fail, and tasks that are assigned to it would never run.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// commit writes one row if it still has the given revision.
func (d Directory) commit(ctx context.Context, key string, revision uint64, value []byte) (tablestore.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, listCallLimit)
	defer cancel()
	return d.Table.Commit(ctx, tablestore.Transaction{
		WriteID:    d.Node + "/" + key,
		Conditions: []tablestore.Condition{{Key: key, Revision: revision}},
		Writes:     []tablestore.Write{{Key: key, Value: value}},
	})
}
