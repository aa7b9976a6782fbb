package quota

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// rowTable is the key prefix of the shards' rows, one for each shard, in one partition.
const rowTable = "quota-holders//"

func rowKey(shard int) string { return fmt.Sprintf("%s%02d", rowTable, shard) }

// maxTerm is far above any term that occurs. The term after a larger one could overflow.
const maxTerm = 1 << 62

// rowValue is a row's content.
type rowValue struct {
	Address string `json:"a"`
	Run     string `json:"r"`
	Term    uint64 `json:"t"`
	// Levels are those of the shard's accounts; builds without levels ignore them.
	Levels Levels `json:"l,omitempty"`
}

// change is a row to write.
type change struct {
	shard    int
	revision uint64 // current revision of the row
	holder   Holder
	levels   Levels // of the holder's accounts
}

// decodeRow decodes a row. An invalid row names no holder, so that it is replaced.
func decodeRow(row tablestore.Row) (Row, error) {
	var value rowValue
	if row.Revision == 0 {
		return Row{}, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return Row{Revision: row.Revision}, errors.Wrapf(err, "decode row %s", row.Key)
	}
	if value.Term > maxTerm {
		return Row{Revision: row.Revision}, errors.Newf("row %s: term is above %d", row.Key, uint64(maxTerm))
	}
	holder := Holder{Address: value.Address, RunID: value.Run, Term: value.Term}
	return Row{Holder: holder, Revision: row.Revision, Levels: value.Levels}, nil
}

// transactionOf returns the transaction that writes rows, on condition that their revisions are unchanged.
func transactionOf(runID string, changes []change) (tablestore.Transaction, error) {
	transaction := tablestore.Transaction{WriteID: fmt.Sprintf("%s/quota/%d", runID, time.Now().UnixNano())}
	for _, c := range changes {
		value, err := json.Marshal(rowValue{
			Address: c.holder.Address, Run: c.holder.RunID, Term: c.holder.Term, Levels: c.levels,
		})
		if err != nil {
			return transaction, errors.Wrap(err, "encode holder")
		}
		key := rowKey(c.shard)
		transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: key, Revision: c.revision})
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: key, Value: value})
	}
	return transaction, nil
}
