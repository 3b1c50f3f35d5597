package core

// cacheBelief is what an owner believes an engine's prefix cache to hold. The
// events behind it are late and have gaps, so a hit is only likely.
type cacheBelief struct {
	blocks map[BlockHash]uint64
	clock  uint64
	// confidence is the share of expected hits that came true.
	confidence float64
}

// maxBelievedBlocks bounds the blocks remembered for one engine.
const maxBelievedBlocks = 1 << 15

func newCacheBelief() cacheBelief {
	return cacheBelief{blocks: make(map[BlockHash]uint64), confidence: cacheConfidenceInitially}
}

func (c *cacheBelief) add(b BlockHash) {
	c.clock++
	c.blocks[b] = c.clock
	if len(c.blocks) > maxBelievedBlocks {
		c.forgetOldest()
	}
}

// forgetOldest drops the older half of the blocks.
func (c *cacheBelief) forgetOldest() {
	limit := c.clock - maxBelievedBlocks/2
	for b, at := range c.blocks {
		if at < limit {
			delete(c.blocks, b)
		}
	}
}

func (c *cacheBelief) apply(events []CacheEvent) {
	for _, e := range events {
		if e.Evicted {
			delete(c.blocks, e.Block)
			continue
		}
		c.add(e.Block)
	}
}

func (c *cacheBelief) addAll(blocks []BlockHash) {
	for _, b := range blocks {
		c.add(b)
	}
}

// hit returns the tokens of the longest prefix believed to be cached.
func (c *cacheBelief) hit(p Prompt) Tokens {
	blocks := 0
	for _, b := range p.Blocks {
		if _, ok := c.blocks[b]; !ok {
			break
		}
		blocks++
	}
	return min(Tokens(blocks)*BlockTokens, p.Tokens)
}

// expected returns the tokens that a prefill is expected to find cached.
func (c *cacheBelief) expected(p Prompt) Tokens {
	return Tokens(c.confidence * float64(c.hit(p)))
}

// learn compares a hit that was believed in with the one that happened.
func (c *cacheBelief) learn(believed, actual Tokens) {
	if believed == 0 {
		return
	}
	share := min(float64(actual)/float64(believed), 1)
	c.confidence += 0.05 * (share - c.confidence)
}
