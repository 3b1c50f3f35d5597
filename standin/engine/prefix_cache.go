package engine

import (
	"container/list"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// keptEvents bounds the cache events that are kept for reports.
const keptEvents = 4096

// prefixCache keeps the most recently used blocks of prompts and the events
// that tell of its changes. Its zero value is empty.
type prefixCache struct {
	blocks map[core.BlockHash]*list.Element
	// recent holds block hashes, the most recently used first.
	recent *list.List
	events []publishedEvent
	// numbered is the number of the last event, lost ones included.
	numbered uint64
}

type publishedEvent struct {
	number uint64
	at     core.Instant
	event  wire.CacheEvent
}

// cached returns how many tokens at the start of a prompt are in the cache.
func (c *prefixCache) cached(blocks []core.BlockHash) core.Tokens {
	n := core.Tokens(0)
	for _, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			break
		}
		n += core.BlockTokens
	}
	return n
}

// store puts a prompt's blocks in the cache and evicts the least recently
// used ones. The last blocks go in first, so that a prefix outlives them.
func (c *prefixCache) store(e *Engine, blocks []core.BlockHash) {
	if c.blocks == nil {
		c.blocks = map[core.BlockHash]*list.Element{}
		c.recent = list.New()
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if element, ok := c.blocks[b]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.recent.PushFront(b)
		c.publish(e, wire.CacheEvent{Block: b})
	}
	for c.recent.Len() > e.CacheBlocks {
		b := c.recent.Remove(c.recent.Back()).(core.BlockHash)
		delete(c.blocks, b)
		c.publish(e, wire.CacheEvent{Block: b, Evicted: true})
	}
}

func (c *prefixCache) publish(e *Engine, event wire.CacheEvent) {
	c.numbered++
	if e.Random.Float64() < e.EventGapRate {
		return
	}
	c.events = append(c.events, publishedEvent{c.numbered, e.now.Add(e.EventLag), event})
	if len(c.events) > 2*keptEvents {
		c.events = append([]publishedEvent(nil), c.events[keptEvents:]...)
	}
}

// after fills a report with the first unbroken run of published events after a
// number. The number of a reader that is ahead comes from before a crash, so
// that it starts again.
func (c *prefixCache) after(now core.Instant, number uint64, report *wire.Report) {
	if number > c.numbered {
		number = 0
	}
	report.EventsFrom, report.EventsThrough = number+1, number
	for _, p := range c.events {
		if p.number <= number {
			continue
		}
		if p.at > now || (len(report.Events) > 0 && p.number != report.EventsThrough+1) {
			break
		}
		if len(report.Events) == 0 {
			report.EventsFrom = p.number
		}
		report.EventsThrough = p.number
		report.Events = append(report.Events, p.event)
	}
}
