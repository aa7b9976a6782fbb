package ingress

import "sync"

// maxLines bounds the lines of turns that are remembered, in each of two
// generations.
const maxLines = 4096

// lastEngines remembers which engine served each line's last turn, and so has
// the line's prompt in its memory. A hint. Safe for concurrent use.
type lastEngines struct {
	mutex        sync.Mutex
	newer, older map[string]string
}

func newLastEngines() *lastEngines {
	return &lastEngines{newer: make(map[string]string)}
}

func (l *lastEngines) get(line string) string {
	if line == "" {
		return ""
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if engine, found := l.newer[line]; found {
		return engine
	}
	return l.older[line]
}

func (l *lastEngines) set(line, engine string) {
	if line == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.newer[line] = engine
	if len(l.newer) > maxLines {
		l.older, l.newer = l.newer, make(map[string]string)
	}
}
