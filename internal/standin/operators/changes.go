package operators

import (
	"slices"
	"strings"
)

// LastChange returns the version of the newest change to a table; 0 if there was none, or if it has been dropped from the history.
func (s *Store) LastChange(table string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, row := range slices.Backward(s.history) {
		if row.Table == table {
			return row.Version
		}
	}
	return 0
}

// CommitCount returns how many transactions named a row of a table, whatever became of them.
func (s *Store) CommitCount(table string) int {
	return s.countCommits(func(named string) bool { return named == table })
}

// CommitsBeside returns how many transactions named a row of any table but the given ones, whatever became of them. A test
// that counts what requests write leaves out the tables that its processes write without any request.
func (s *Store) CommitsBeside(tables ...string) int {
	return s.countCommits(func(named string) bool { return !slices.Contains(tables, named) })
}

// countCommits returns how many transactions named a row of a table that matches.
func (s *Store) countCommits(matches func(table string) bool) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sum := 0
	for tables, count := range s.commits {
		if slices.ContainsFunc(strings.Split(tables, "\n"), matches) {
			sum += count
		}
	}
	return sum
}

// recordCommit counts a transaction by the tables that it names.
func (s *Store) recordCommit(rows []Row) {
	var tables []string
	for _, row := range rows {
		if !slices.Contains(tables, row.Table) {
			tables = append(tables, row.Table)
		}
	}
	slices.Sort(tables)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commits[strings.Join(tables, "\n")]++
}
