package engine

import (
	"container/list"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// keptEvents is how many of the latest cache events remain available to
// reports. Older ones are discarded once there are twice as many in all.
const keptEvents = 4096

// prefixCache holds the most recently used blocks of prompts and the events
// that publish its changes. Its zero value is empty.
type prefixCache struct {
	blocks map[core.BlockHash]*list.Element
	// recent lists the block hashes, the most recently used first.
	recent *list.List
	events []publishedEvent
	// lastNumber is the number of the latest event. Lost events are numbered
	// too.
	lastNumber uint64
}

// publishedEvent is a numbered cache event that reports include from the instant
// at.
type publishedEvent struct {
	number uint64
	at     core.Instant
	event  wire.CacheEvent
}

// cachedTokens returns how many tokens at the start of a prompt are cached.
func (c *prefixCache) cachedTokens(blocks []core.BlockHash) core.Tokens {
	n := core.Tokens(0)
	for _, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			break
		}
		n += core.BlockTokens
	}
	return n
}

// store caches a prompt's blocks and evicts the least recently used blocks if
// there are more than CacheBlocks. It stores the last block first, so that each
// block is evicted before the prefix that it extends.
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

// publish numbers an event and makes it visible to reports after EventLag,
// unless the event is lost.
func (c *prefixCache) publish(e *Engine, event wire.CacheEvent) {
	c.lastNumber++
	if e.Random.Float64() < e.EventGapRate {
		return
	}
	c.events = append(c.events, publishedEvent{c.lastNumber, e.now.Add(e.EventLag), event})
	if len(c.events) > 2*keptEvents {
		c.events = append([]publishedEvent(nil), c.events[keptEvents:]...)
	}
}

// fillReport adds to a report the first run of consecutively numbered events
// above number. A number above lastNumber dates from before a crash, so the
// report then has the events from the start.
func (c *prefixCache) fillReport(now core.Instant, number uint64, report *wire.Report) {
	if number > c.lastNumber {
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
