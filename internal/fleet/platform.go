package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
	standin "github.com/pewtermill/pewtermill/internal/standin/platform"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// TableCounts are operations that reached the platform, and the bytes of the
// rows and lists that it answered.
type TableCounts struct {
	Commits       uint64 `json:"commits"`
	Gets          uint64 `json:"gets"`
	Ranges        uint64 `json:"ranges"`
	RowsRead      uint64 `json:"rows_read"`
	MachineLists  uint64 `json:"machine_lists"`
	BytesAnswered uint64 `json:"bytes_answered"`
}

// countingPlatform is the in-process platform stand-in. It counts operations.
// The machine list is decoded from JSON for each reader, as a client of the
// platform's HTTP would have to. Safe for concurrent use.
type countingPlatform struct {
	*standin.Platform
	machines []byte // JSON

	commits, gets, ranges, rowsRead, lists, bytes atomic.Uint64
}

func newCountingPlatform(machines int) (*countingPlatform, error) {
	list := make([]tablestore.Machine, machines)
	for index := range list {
		list[index] = tablestore.Machine{
			Name:    fmt.Sprintf("machine-%d", index),
			Role:    "engine",
			Zone:    zoneName(index%regions, index%zonesPerRegion),
			Address: "10.0.0.1:7000",
		}
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode machine list")
	}
	return &countingPlatform{Platform: standin.New(standin.Options{}), machines: encoded}, nil
}

// Commit implements tablestore.Table.
func (p *countingPlatform) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	p.commits.Add(1)
	return p.Platform.Commit(ctx, transaction)
}

// Get implements tablestore.Table.
func (p *countingPlatform) Get(ctx context.Context, key string) (tablestore.Row, error) {
	row, err := p.Platform.Get(ctx, key)
	p.gets.Add(1)
	p.bytes.Add(uint64(len(row.Value)))
	return row, err
}

// Range implements tablestore.Table.
func (p *countingPlatform) Range(ctx context.Context, start, end string, limit int) ([]tablestore.Row, error) {
	rows, err := p.Platform.Range(ctx, start, end, limit)
	p.ranges.Add(1)
	p.rowsRead.Add(uint64(len(rows)))
	for _, row := range rows {
		p.bytes.Add(uint64(len(row.Key) + len(row.Value)))
	}
	return rows, err
}

// List implements tablestore.Machines.
func (p *countingPlatform) List(context.Context) ([]tablestore.Machine, error) {
	p.lists.Add(1)
	p.bytes.Add(uint64(len(p.machines)))
	var list []tablestore.Machine
	err := json.Unmarshal(p.machines, &list)
	return list, err
}

func (p *countingPlatform) counts() TableCounts {
	return TableCounts{
		Commits:       p.commits.Load(),
		Gets:          p.gets.Load(),
		Ranges:        p.ranges.Load(),
		RowsRead:      p.rowsRead.Load(),
		MachineLists:  p.lists.Load(),
		BytesAnswered: p.bytes.Load(),
	}
}

// since returns what was counted after an earlier reading.
func (c TableCounts) since(before TableCounts) TableCounts {
	return TableCounts{
		Commits:       c.Commits - before.Commits,
		Gets:          c.Gets - before.Gets,
		Ranges:        c.Ranges - before.Ranges,
		RowsRead:      c.RowsRead - before.RowsRead,
		MachineLists:  c.MachineLists - before.MachineLists,
		BytesAnswered: c.BytesAnswered - before.BytesAnswered,
	}
}

// operations is the number of requests of any kind.
func (c TableCounts) operations() uint64 {
	return c.Commits + c.Gets + c.Ranges + c.MachineLists
}

// Shape of the programs in the table.
const (
	programWrites   = 200 // rows in one transaction
	programWallTime = 24 * time.Hour
)

// addPrograms puts rows of open programs into the table, spread over the
// cells, for the maintenance scan to read.
func (p *countingPlatform) addPrograms(ctx context.Context, cells, count int) error {
	var transaction tablestore.Transaction
	for index := range count {
		header := program.New(program.Params{
			ID:      program.RootID(cellName(index%cells), uint64(index)),
			Tenant:  fmt.Sprintf("tenant-%d", index%DefaultTenants),
			Class:   "interactive",
			Owner:   nodeName(index % cells),
			Budget:  api.Credits(1_000_000),
			Now:     time.Now(),
			MaxWall: programWallTime,
		})
		key := program.HeaderKey(header.ID)
		transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: key})
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: key, Value: program.EncodeHeader(header)})
		if len(transaction.Writes) < programWrites && index < count-1 {
			continue
		}
		transaction.WriteID = fmt.Sprintf("programs-%d", index)
		if _, err := p.Platform.Commit(ctx, transaction); err != nil {
			return errors.Wrap(err, "add programs")
		}
		transaction = tablestore.Transaction{}
	}
	return nil
}
