package relay

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Directory tells nodes of each other, and the secret that they share, through
// the table service, as long as they reach it.
type Directory struct {
	Table   tablestore.Table
	Node    string
	Zones   []string // all zones, the node's own first, then the nearest
	Address string   // where this node answers peers
	// Processors is how much processor time the node's machine has, in cores; 0 if unknown.
	Processors float64
}

// Bounds of the directory.
const (
	secretBytes    = 32
	secretKey      = "relay-secret//current"
	maxListed      = 500
	listCallLimit  = time.Second
	secretAttempts = 3
	maxProcessors  = 1024 // cores; an entry that says more would draw all that goes by them
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

// memberKey is the key of a node's entry.
func memberKey(zone, node string) string { return "relay-members/" + zone + "/" + node }

// Secret returns the secret that all nodes share. The first to ask makes it.
func (d Directory) Secret(ctx context.Context) ([]byte, error) {
	fresh := make([]byte, secretBytes)
	if _, err := rand.Read(fresh); err != nil {
		return nil, errors.Wrap(err, "make a secret")
	}
	var last error
	for range secretAttempts {
		_, err := d.commit(ctx, secretKey, 0, fresh)
		var conflict *tablestore.ConflictError
		switch {
		case err == nil:
			return fresh, nil
		case errors.As(err, &conflict) && len(conflict.Current.Value) > 0:
			return conflict.Current.Value, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "shared secret")
}

// Join writes this node's entry, over that of an earlier run.
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

// Peers returns the other nodes, by zone, and within a zone in
// an order that differs from node to node. Zones that cannot be read are left out
// if another one can; whole says that all could be.
func (d Directory) Peers(ctx context.Context) (peers []Peer, whole bool, problem error) {
	var last error
	for _, zone := range d.Zones {
		found, err := d.zonePeers(ctx, zone)
		if err != nil {
			last = err
		}
		peers = append(peers, found...)
	}
	if len(peers) == 0 && last != nil {
		return nil, false, errors.Wrap(last, "list the directory")
	}
	return peers, last == nil, nil
}

// zonePeers returns the other nodes of one zone.
func (d Directory) zonePeers(ctx context.Context, zone string) ([]Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, listCallLimit)
	defer cancel()
	rows, err := d.Table.Range(ctx, memberKey(zone, ""), memberKey(zone, "\x7f"), maxListed)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	own := memberKey(zone, d.Node)
	start, _ := slices.BinarySearchFunc(rows, own, func(row tablestore.Row, key string) int {
		return strings.Compare(row.Key, key)
	})
	var peers []Peer
	for i := range rows {
		var found member
		row := rows[(start+i)%len(rows)]
		if json.Unmarshal(row.Value, &found) == nil && isAddress(found.Address) && found.Address != d.Address {
			peers = append(peers, Peer{Zone: zone, Address: found.Address, Processors: max(0, min(found.Processors, maxProcessors))})
		}
	}
	return peers, nil
}

// isAddress reports whether a text is an IP address and a port. An entry without one is not of a
// node: it would be asked in vain, and chosen for duties that then nobody does.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// commit writes one row on condition of its revision.
func (d Directory) commit(ctx context.Context, key string, revision uint64, value []byte) (tablestore.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, listCallLimit)
	defer cancel()
	return d.Table.Commit(ctx, tablestore.Transaction{
		WriteID:    d.Node + "/" + key,
		Conditions: []tablestore.Condition{{Key: key, Revision: revision}},
		Writes:     []tablestore.Write{{Key: key, Value: value}},
	})
}
