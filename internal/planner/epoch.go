package planner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// row is the value of the table row that records a cell's planner.
type row struct {
	Owner       string `json:"owner"`
	Epoch       uint64 `json:"epoch"`
	Incarnation uint64 `json:"incarnation"` // of the owner
}

// RowKey returns the key of a cell's row.
func RowKey(cell string) string { return "plan/" + cell }

// takeEpoch increments the epoch in the cell's row by compare-and-set and
// returns it. If the outcome of the write is unknown, the epoch may be used up;
// the next attempt takes a later one.
func (p *Planner) takeEpoch(ctx context.Context) (uint64, error) {
	key := RowKey(p.options.Cell)
	stored, err := p.options.Table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var previous row
	if stored.Revision != 0 {
		if err := json.Unmarshal(stored.Value, &previous); err != nil {
			return 0, errors.Wrapf(err, "row %s", key)
		}
	}
	next := row{Owner: p.options.Node, Epoch: previous.Epoch + 1, Incarnation: p.options.Incarnation}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	_, err = p.options.Table.Commit(ctx, tablestore.Transaction{
		Conditions: []tablestore.Condition{{Key: key, Revision: stored.Revision}},
		Writes:     []tablestore.Write{{Key: key, Value: value}},
	})
	return next.Epoch, err
}
