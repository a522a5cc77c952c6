package emulator

import "github.com/cespare/xxhash/v2"

// vocabulary holds the words that generated texts consist of.
var vocabulary = []string{
	"the", "tide", "turns", "before", "noon", "feast", "of", "harbour", "lights", "calendar",
	"rising", "moon", "skipper", "notes", "wind", "from", "south", "evening", "begins", "at",
}

// TokenText returns the text of the token at index in the response to a prompt. It
// depends on nothing else, so every engine gives the same response.
func TokenText(prompt string, index int) string {
	return tokenText(xxhash.Sum64String(prompt), index)
}

// tokenText is TokenText with the hash of the prompt as the seed.
func tokenText(seed uint64, index int) string {
	const mix = 0x9e3779b97f4a7c15
	h := (seed + uint64(index)) * mix
	return vocabulary[(h>>32)%uint64(len(vocabulary))] + " "
}
