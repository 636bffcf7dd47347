package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer is the text that the stand-in engines give to a request, one element
// per token. It depends only on the model, the adapter and the prompt.
func Answer(model, adapter, prompt string, tokens int) []string {
	out := make([]string, tokens)
	for i := range out {
		digest := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", model, adapter, prompt, i))
		out[i] = fmt.Sprintf("w%04x ", digest&0xffff)
	}
	return out
}

// AnswerText is Answer as one text.
func AnswerText(model, adapter, prompt string, tokens int) string {
	return strings.Join(Answer(model, adapter, prompt, tokens), "")
}
