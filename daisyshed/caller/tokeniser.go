package caller

import (
	"hash/fnv"
	"strings"

	"daisyshed.dev/core"
)

// Tokenise returns the number of tokens of a text and the hashes of its
// blocks. A token is a word. Each block's hash covers all words before its
// end, so equal hashes mean equal prefixes. A last block that is not full has
// no hash.
func Tokenise(text string) core.Prompt {
	var prompt core.Prompt
	hash := fnv.New64a()
	for word := range strings.FieldsSeq(text) {
		// Writing to a hash never fails.
		_, _ = hash.Write([]byte(word))
		_, _ = hash.Write([]byte{0})
		prompt.Tokens++
		if prompt.Tokens%core.BlockTokens == 0 {
			prompt.Blocks = append(prompt.Blocks, core.BlockHash(hash.Sum64()))
		}
	}
	return prompt
}
