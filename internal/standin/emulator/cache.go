package emulator

import (
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the length of a prefix cache block in tokens.
	blockTokens = 32
	// charsPerToken is the length of a prompt token in bytes.
	charsPerToken = 4
	// blockChars is the length of a block in bytes.
	blockChars = blockTokens * charsPerToken
)

// cacheEvent reports that a prefix block was cached or evicted.
type cacheEvent struct {
	Number int       `json:"number"`
	Block  uint64    `json:"block"`
	Cached bool      `json:"cached"`
	At     time.Time `json:"at"`
}

// cacheBlocks adds the blocks of a computed prompt to the prefix cache. The caller
// holds mu.
func (e *Emulator) cacheBlocks(blocks []uint64) {
	for _, block := range blocks {
		if evicted, ok := e.cache.add(block); ok {
			e.addEvent(evicted, false)
		}
		e.addEvent(block, true)
	}
}

// maxEvents is the maximum number of retained cache events.
const maxEvents = 4096

// addEvent appends a cache event unless it is to be lost. The caller holds mu.
func (e *Emulator) addEvent(block uint64, cached bool) {
	e.eventCount++
	if e.config.LoseEventEvery > 0 && e.eventCount%e.config.LoseEventEvery == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{Number: e.eventCount, Block: block, Cached: cached, At: e.clock.Now()})
	if len(e.events) > maxEvents {
		e.events = slices.Clone(e.events[maxEvents/2:])
	}
}

// promptBlocks returns the hashes of a prompt's complete blocks. Each hash covers
// the prompt from its start to the end of the block.
func promptBlocks(prompt string) []uint64 {
	var blocks []uint64
	for end := blockChars; end <= len(prompt); end += blockChars {
		blocks = append(blocks, xxhash.Sum64String(prompt[:end]))
	}
	return blocks
}

// prefixCache is a set of block hashes with least-recently-used eviction.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// recency holds the blocks, the most recently used one first.
	recency *list.List
	// elements are the elements of recency by block.
	elements map[uint64]*list.Element
}

// newPrefixCache returns an empty cache of capacity blocks.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// lookup returns the number of leading blocks that are cached.
func (c *prefixCache) lookup(blocks []uint64) int {
	for n, block := range blocks {
		element, ok := c.elements[block]
		if !ok {
			return n
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// add caches a block and returns the block evicted in its place, if any.
func (c *prefixCache) add(block uint64) (uint64, bool) {
	if element, ok := c.elements[block]; ok {
		c.recency.MoveToFront(element)
		return 0, false
	}
	c.elements[block] = c.recency.PushFront(block)
	if c.recency.Len() <= c.capacity {
		return 0, false
	}
	oldest := c.recency.Remove(c.recency.Back()).(uint64)
	delete(c.elements, oldest)
	return oldest, true
}
