package noded

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"chestnutgauge/internal/relay"
)

// explainPath is the path at which the metrics port explains where a request would go.
const explainPath = "/explain"

// withExplain adds the explanation of choices to a handler.
func withExplain(handler http.Handler, explain func(*relay.Request, string) (relay.Explanation, error)) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("GET "+explainPath, func(w http.ResponseWriter, r *http.Request) {
		serveExplain(w, r.URL.Query(), explain)
	})
	return mux
}

func serveExplain(w http.ResponseWriter, query url.Values, explain func(*relay.Request, string) (relay.Explanation, error)) {
	request, err := explainedRequest(query, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	explanation, err := explain(request, query.Get("team"))
	switch {
	case errors.Is(err, relay.ErrNoConfiguration):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The operator sees an answer that is cut off.
	_ = json.NewEncoder(w).Encode(explanation)
}

// explainedRequest returns the request that a query describes: host, path, model, adapter, prompt
// (ID:TOKENS, comma-separated), prompt_tokens, max_tokens, body_bytes.
func explainedRequest(query url.Values, now time.Time) (*relay.Request, error) {
	request := &relay.Request{
		ID: "explain", Method: http.MethodPost, Host: query.Get("host"), Path: query.Get("path"), Target: query.Get("path"),
		Model: query.Get("model"), Adapter: query.Get("adapter"), Arrived: now,
	}
	numbers := map[string]int{"prompt_tokens": 0, "max_tokens": 0, "body_bytes": 0}
	for name := range numbers {
		text := query.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxExplained {
			return nil, fmt.Errorf("%s: not a number from 0 to %d", name, maxExplained)
		}
		numbers[name] = n
	}
	request.PromptTokens, request.MaxTokens = numbers["prompt_tokens"], numbers["max_tokens"]
	request.Body = make([]byte, numbers["body_bytes"])
	if text := query.Get("prompt"); text != "" {
		for _, pair := range strings.Split(text, ",") {
			id, count, _ := strings.Cut(pair, ":")
			tokens, err := strconv.Atoi(count)
			if err != nil || tokens < 0 || tokens > maxExplained {
				return nil, fmt.Errorf("prompt: %q is not ID:TOKENS", pair)
			}
			request.Prompt = append(request.Prompt, relay.PromptPart{ID: id, Tokens: tokens})
		}
	}
	return request, nil
}

// maxExplained bounds the numbers in a query.
const maxExplained = 1 << 22
