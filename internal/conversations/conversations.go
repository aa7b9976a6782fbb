// Package conversations caches which engine served the last turn of each conversation of a program.
// That engine has the conversation's prompt in its cache, so the next turn is cheapest
// there. The result is only a hint: engines evict prompts, and turns may be served elsewhere
// without being recorded here.
package conversations

import "sync"

// maxConversations bounds the entries in each of two generations: a conversation takes up to two.
const maxConversations = 4096

// Conversation identifies a sequence of turns. The turns of a program's sub-agents are separate
// conversations.
type Conversation struct {
	Program string
	Session string
}

// Location is where a conversation's last turn was served.
type Location struct {
	Engine string // empty if it is not known
	Tokens int64  // of the prompt that the engine read, including its answer
}

// Cache stores the locations of conversations. Safe for concurrent use.
type Cache struct {
	mutex        sync.Mutex
	newer, older map[Conversation]Location
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{newer: make(map[Conversation]Location)} }

// Get returns the location of a conversation. If it is not cached, Get returns the location of the
// program's last turn: a sub-agent's prompt starts with that of the turn which started it.
func (c *Cache) Get(conversation Conversation) Location {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, key := range []Conversation{conversation, {Program: conversation.Program}} {
		if location, found := c.newer[key]; found {
			return location
		}
		if location, found := c.older[key]; found {
			return location
		}
	}
	return Location{}
}

// Set stores the location of a conversation. Conversations without a program are not stored.
func (c *Cache) Set(conversation Conversation, location Location) {
	if conversation.Program == "" || location.Engine == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.newer[conversation] = location
	c.newer[Conversation{Program: conversation.Program}] = location
	if len(c.newer) > 2*maxConversations {
		c.older, c.newer = c.newer, make(map[Conversation]Location)
	}
}
