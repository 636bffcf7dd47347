package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the text that stand-in engines generate for a request, one
// element per token. It depends only on the model, the adapter and the prompt.
func Answer(model, adapter, prompt string, tokens int) []string {
	out := make([]string, tokens)
	for i := range out {
		digest := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", model, adapter, prompt, i))
		out[i] = fmt.Sprintf("w%04x ", digest&0xffff)
	}
	return out
}

// AnswerText returns the tokens of Answer as one string.
func AnswerText(model, adapter, prompt string, tokens int) string {
	return strings.Join(Answer(model, adapter, prompt, tokens), "")
}
