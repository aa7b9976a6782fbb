package poison

import (
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Rows of the store. A row holds what one run of a node knows of one request; it is the only writer of the row.
const (
	// RowTable is the table of the rows.
	RowTable  = "request-ends"
	rowPrefix = RowTable + "//"
	// maxRowEnds is the maximum number of ends that are taken from one row.
	maxRowEnds = maxEnds
)

// row is the content of a row. The ages of its ends are by the clock of the node that wrote it, as of when it did.
type row struct {
	WrittenUnixMilli int64    `json:"w"`
	Ends             []rowEnd `json:"e"`
}

// rowEnd is an end in a row.
type rowEnd struct {
	Engine         string `json:"e"`
	Try            string `json:"t"`
	SentMillisAgo  int64  `json:"s"`
	EndedMillisAgo int64  `json:"d"`
	Cleared        bool   `json:"c,omitempty"`
}

// rowName returns the key of the row that a run of a node writes for a request.
func rowName(key Key, runID string) string { return requestPrefix(key) + runID }

// requestPrefix returns the beginning of the keys of all rows of a request.
func requestPrefix(key Key) string { return rowPrefix + key.String() + "/" }

// keyOfRow returns the key of the request that a row is of.
func keyOfRow(name string) (key Key, err error) {
	request, _, _ := strings.Cut(strings.TrimPrefix(name, rowPrefix), "/")
	decoded, err := hex.DecodeString(request)
	if err != nil || len(decoded) != len(key) {
		return Key{}, errors.Newf("row %q names no request", name)
	}
	return Key(decoded), nil
}

// encode returns the value of a row.
func (r row) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode the ends under a request")
}

// decodeRow decodes the value of a row.
func decodeRow(value []byte) (row, error) {
	var content row
	if err := json.Unmarshal(value, &content); err != nil {
		return row{}, errors.Wrap(err, "decode the ends under a request")
	}
	if len(content.Ends) > maxRowEnds {
		return row{}, errors.Newf("a row holds %d ends, more than %d", len(content.Ends), maxRowEnds)
	}
	for _, end := range content.Ends {
		if end.Engine == "" {
			return row{}, errors.New("an end under a request names no engine")
		}
	}
	return content, nil
}

// age returns for how long a row has been in the store, as far as the clocks of two machines tell.
func (r row) age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(r.WrittenUnixMilli)))
}

// newRow returns the row with the ends of a request that other nodes are to know.
func newRow(ends []endRecord, now time.Time) row {
	content := row{WrittenUnixMilli: now.UnixMilli()}
	for _, end := range ends {
		if !end.shared {
			continue
		}
		content.Ends = append(content.Ends, rowEnd{
			Engine:         end.Engine,
			Try:            truncateTry(end.Try),
			SentMillisAgo:  now.Sub(end.SentAt).Milliseconds(),
			EndedMillisAgo: now.Sub(end.EndedAt).Milliseconds(),
			Cleared:        end.cleared,
		})
	}
	return content
}

// records converts the ends of a row, which was written at a time by the clock of this node.
func (r row) records(written time.Time) []endRecord {
	records := make([]endRecord, 0, len(r.Ends))
	for _, end := range r.Ends {
		records = append(records, endRecord{cleared: end.Cleared, shared: true, End: End{
			Engine:  end.Engine,
			Try:     end.Try,
			SentAt:  written.Add(-age(end.SentMillisAgo)),
			EndedAt: written.Add(-age(end.EndedMillisAgo)),
		}})
	}
	return records
}
