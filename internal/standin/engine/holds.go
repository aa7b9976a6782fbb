package engine

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// holdTable records which program holds which blocks, and until when.
type holdTable struct {
	ttl     time.Duration
	byName  map[string]*list.Element
	byOrder *list.List // of *programHold, next to expire in front
}

type programHold struct {
	program   string
	blocks    []*block
	expiresAt time.Time
}

func newHoldTable(ttl time.Duration) *holdTable {
	return &holdTable{ttl: ttl, byName: map[string]*list.Element{}, byOrder: list.New()}
}

// put adds a hold for a program that has none.
func (t *holdTable) put(program string, blocks []*block, now time.Time) {
	entry := &programHold{program: program, blocks: blocks, expiresAt: now.Add(t.ttl)}
	t.byName[program] = t.byOrder.PushBack(entry)
}

// remove deletes a program's hold and returns its blocks; nil if there is none.
func (t *holdTable) remove(program string) []*block {
	element := t.byName[program]
	if element == nil {
		return nil
	}
	delete(t.byName, program)
	return t.byOrder.Remove(element).(*programHold).blocks
}

func (t *holdTable) blocks(program string) []*block {
	element := t.byName[program]
	if element == nil {
		return nil
	}
	return element.Value.(*programHold).blocks
}

// expired returns the programs whose holds have expired.
func (t *holdTable) expired(now time.Time) []string {
	var programs []string
	for element := t.byOrder.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*programHold)
		if entry.expiresAt.After(now) {
			break
		}
		programs = append(programs, entry.program)
	}
	return programs
}

func (t *holdTable) programs() []string { return slices.Sorted(maps.Keys(t.byName)) }
