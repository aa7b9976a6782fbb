package relay

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sort"
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
	Zone    string
	Address string // where this node answers peers
}

// Bounds of the directory.
const (
	secretBytes    = 32
	secretKey      = "relay-secret//current"
	maxListed      = 500
	listCallLimit  = time.Second
	secretAttempts = 3
)

// member is a node's entry.
type member struct {
	Address string `json:"address"`
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
	value, err := json.Marshal(member{Address: d.Address})
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	key := memberKey(d.Zone, d.Node)
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

// Peers returns the addresses of the other nodes of the zone, in an order that
// differs from node to node.
func (d Directory) Peers(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, listCallLimit)
	defer cancel()
	rows, err := d.Table.Range(ctx, memberKey(d.Zone, ""), memberKey(d.Zone, "\x7f"), maxListed)
	if err != nil {
		return nil, errors.Wrap(err, "list the directory")
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	own := memberKey(d.Zone, d.Node)
	start := sort.Search(len(rows), func(i int) bool { return strings.Compare(rows[i].Key, own) > 0 })
	var peers []string
	for i := range rows {
		row := rows[(start+i)%len(rows)]
		var found member
		if row.Key != own && json.Unmarshal(row.Value, &found) == nil && found.Address != d.Address {
			peers = append(peers, found.Address)
		}
	}
	return peers, nil
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
