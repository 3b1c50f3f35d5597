package core

// cacheEstimate is an owner's estimate of the contents of an engine's prefix
// cache. The cache events that it is built from are late and have gaps, so a hit
// is only likely.
type cacheEstimate struct {
	// blocks maps each block to the value of clock when it was last added.
	blocks map[BlockHash]uint64
	// clock counts the additions.
	clock uint64
	// confidence is an exponentially weighted average of the share of a
	// predicted hit that the engine found in its cache.
	confidence float64
}

// maxCachedBlocks is the upper bound of the blocks kept for one engine.
const maxCachedBlocks = 1 << 15

func newCacheEstimate() cacheEstimate {
	return cacheEstimate{blocks: make(map[BlockHash]uint64), confidence: initialCacheConfidence}
}

func (c *cacheEstimate) add(b BlockHash) {
	c.clock++
	c.blocks[b] = c.clock
	if len(c.blocks) > maxCachedBlocks {
		c.evictOldest()
	}
}

// evictOldest drops all blocks but those of the latest maxCachedBlocks/2
// additions.
func (c *cacheEstimate) evictOldest() {
	limit := c.clock - maxCachedBlocks/2
	for b, at := range c.blocks {
		if at < limit {
			delete(c.blocks, b)
		}
	}
}

func (c *cacheEstimate) apply(events []CacheEvent) {
	for _, e := range events {
		if e.Evicted {
			delete(c.blocks, e.Block)
			continue
		}
		c.add(e.Block)
	}
}

func (c *cacheEstimate) addAll(blocks []BlockHash) {
	for _, b := range blocks {
		c.add(b)
	}
}

// hit returns the number of tokens in the longest prefix of the prompt that is
// cached by this estimate.
func (c *cacheEstimate) hit(p Prompt) Tokens {
	blocks := 0
	for _, b := range p.Blocks {
		if _, ok := c.blocks[b]; !ok {
			break
		}
		blocks++
	}
	return min(Tokens(blocks)*BlockTokens, p.Tokens)
}

// expected returns the number of prompt tokens that a prefill is expected to find
// cached: the predicted hit times the confidence.
func (c *cacheEstimate) expected(p Prompt) Tokens {
	return Tokens(c.confidence * float64(c.hit(p)))
}

// updateConfidence updates the confidence after a prefill, by the predicted and the
// actual number of cached tokens.
func (c *cacheEstimate) updateConfidence(predicted, actual Tokens) {
	if predicted == 0 {
		return
	}
	share := min(float64(actual)/float64(predicted), 1)
	c.confidence += 0.05 * (share - c.confidence)
}
