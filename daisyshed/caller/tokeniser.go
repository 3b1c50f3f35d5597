package caller

import (
	"hash/fnv"
	"strings"

	"daisyshed.dev/core"
)

// Tokenise returns the number of tokens of a text and the hashes of its blocks
// of core.BlockTokens tokens. A token is a word. Each hash covers the text from
// its start to the end of the block, so equal hashes mean equal prefixes. An
// incomplete last block has no hash.
func Tokenise(text string) core.Prompt {
	var prompt core.Prompt
	hash := fnv.New64a()
	for word := range strings.FieldsSeq(text) {
		// A hash.Hash never returns an error.
		_, _ = hash.Write([]byte(word))
		_, _ = hash.Write([]byte{0})
		prompt.Tokens++
		if prompt.Tokens%core.BlockTokens == 0 {
			prompt.Blocks = append(prompt.Blocks, core.BlockHash(hash.Sum64()))
		}
	}
	return prompt
}
