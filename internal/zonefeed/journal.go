package zonefeed

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxDeleted is how many deleted rows a journal keeps. Each is a key of some 60 bytes. More rows
// are deleted within one wait only if a fleet of that size leaves at once; the table is then
// read as a whole.
const maxDeleted = 1_000

// journal holds the newest rows of one table, and lists what changed after a version.
// A row never goes back to an older revision. No I/O; not safe for concurrent use.
type journal struct {
	rows      map[string]tablestore.Change // by key, deleted rows included
	deleted   int                          // how many of the rows are deleted
	version   uint64                       // of the table that the rows represent
	floor     uint64                       // changes after this version can be listed
	listCount uint64                       // how often the table was read as a whole
}

// applySnapshot replaces the rows by a snapshot as of a version. It ignores a snapshot older than the journal.
func (j *journal) applySnapshot(rows []tablestore.Change, version uint64) {
	if version < j.version {
		return
	}
	next := make(map[string]tablestore.Change, len(rows))
	for _, row := range rows {
		if existing, found := j.rows[row.Key]; found && existing.Revision > row.Revision {
			row = existing
		}
		next[row.Key] = row
	}
	j.rows, j.version, j.floor = next, version, version
	j.deleted = 0
	for _, row := range next {
		if row.Gone {
			j.deleted++
		}
	}
	j.listCount++
}

// applyChanges applies the changes up to a version.
func (j *journal) applyChanges(rows []tablestore.Change, version uint64) {
	if j.listCount == 0 {
		return
	}
	for _, row := range rows {
		j.applyRow(row)
	}
	j.version = max(j.version, version)
	if j.deleted > maxDeleted {
		j.evictDeleted()
	}
}

// applyRow applies one row, unless the journal has a newer revision.
func (j *journal) applyRow(row tablestore.Change) {
	existing, found := j.rows[row.Key]
	if found && existing.Revision >= row.Revision {
		return
	}
	if found && existing.Gone {
		j.deleted--
	}
	if row.Gone {
		j.deleted++
	}
	j.rows[row.Key] = row
}

// evictDeleted drops the older half of the deleted rows. Changes before the last of them can then
// not be listed.
func (j *journal) evictDeleted() {
	deleted := make([]tablestore.Change, 0, j.deleted)
	for _, row := range j.rows {
		if row.Gone {
			deleted = append(deleted, row)
		}
	}
	slices.SortFunc(deleted, byRevision)
	for _, row := range deleted[:len(deleted)/2] {
		delete(j.rows, row.Key)
		j.floor = max(j.floor, row.Revision)
		j.deleted--
	}
}

// after returns the rows that changed after a version, in order of revision. complete is false if the
// journal cannot list them.
func (j *journal) after(version uint64) (rows []tablestore.Change, complete bool) {
	if j.listCount == 0 || version < j.floor {
		return nil, false
	}
	for _, row := range j.rows {
		if row.Revision > version {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, byRevision)
	return rows, true
}

// all returns the rows that are not deleted, in the order of their keys.
func (j *journal) all() []tablestore.Change {
	rows := make([]tablestore.Change, 0, len(j.rows)-j.deleted)
	for _, key := range slices.Sorted(maps.Keys(j.rows)) {
		if row := j.rows[key]; !row.Gone {
			rows = append(rows, row)
		}
	}
	return rows
}

// size returns the total size of keys and values of the rows that are not deleted, in bytes.
func (j *journal) size() int {
	sum := 0
	for key, row := range j.rows {
		if !row.Gone {
			sum += len(key) + len(row.Value)
		}
	}
	return sum
}

func byRevision(a, b tablestore.Change) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}
