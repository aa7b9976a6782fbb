package tablestore

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Page is the result of one range read.
type Page struct {
	Rows []Row `json:"rows"`
	// More means that there may be rows of the range after Rows: the read ended at its limit of rows, or at the
	// service's limit of bytes, which a reader cannot tell from the number of rows.
	More bool `json:"more"`
}

// Next returns the first key of the rest of the range; more is false if there is no rest.
func (p Page) Next() (start string, more bool) {
	if !p.More || len(p.Rows) == 0 {
		return "", false
	}
	return p.Rows[len(p.Rows)-1].Key + "\x00", true
}

// RowAt returns the row with a key, with Revision 0 if the page does not have it.
func (p Page) RowAt(key string) Row {
	for _, row := range p.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// errNoProgress reports that a page holds no row after the ones that were read before it.
var errNoProgress = errors.New("the page does not continue the range")

// ReadAll returns all rows with start <= key < end, in key order, of pages of at most limit rows. Each page is read as
// of a moment of its own: a transaction in between is seen in the later pages only. With an error, which is that of
// Range, no rows are returned: the rest of the range is not known to be absent.
func ReadAll(ctx context.Context, table Table, start, end string, limit int) ([]Row, error) {
	return ReadPages(start, func(start string) (Page, error) { return table.Range(ctx, start, end, limit) })
}

// ReadPages is ReadAll with a function that reads the page at a key.
func ReadPages(start string, read func(start string) (Page, error)) ([]Row, error) {
	var rows []Row
	for {
		page, err := read(start)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		next, more := page.Next()
		if !more {
			return rows, nil
		}
		if next <= start {
			return nil, errors.Mark(errors.Wrapf(errNoProgress, "at key %q", start), ErrUnavailable)
		}
		start = next
	}
}
