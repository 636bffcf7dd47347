package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/config"
	"chestnutgauge/internal/outcome"
)

// Headers of callers' requests and responses.
const (
	headerRequestID      = "X-Request-Id"
	headerOrganisation   = "X-Organisation"
	headerDeadline       = "X-Deadline-Ms"
	headerSession        = "X-Session-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRun            = "X-Run"
	headerEndpoint       = "X-Endpoint"
)

// Limits on callers' fields.
const (
	maxKeyLength = 200
	maxTokens    = 32768
)

// message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatBody is the body of POST /v1/chat/completions.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// call is one validated request of a caller.
type call struct {
	id           string
	organisation string
	session      string
	key          string
	digest       uint64
	received     time.Time
	deadline     time.Time
	// slot is the endpoint slot that the call holds.
	slot slot
}

// chatCall is a call to a model.
type chatCall struct {
	call
	model      config.Model
	name       string
	prompt     string
	maxTokens  int
	stream     bool
	resumeFrom *eventID
}

// readBody reads a request body of at most maxBodyBytes.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		return nil, outcome.BadField("body", fmt.Sprintf("can't be read within %d bytes", maxBodyBytes))
	}
	return body, nil
}

// newCall parses the headers that all calls share.
func newCall(req *http.Request, body []byte, fallback *durationpb.Duration) (call, error) {
	now := time.Now()
	c := call{
		id:           newRequestID(),
		organisation: req.Header.Get(headerOrganisation),
		session:      req.Header.Get(headerSession),
		key:          req.Header.Get(headerIdempotencyKey),
		digest:       xxhash.Sum64(body),
		received:     now,
	}
	if len(c.key) > maxKeyLength {
		return c, outcome.BadField(headerIdempotencyKey, fmt.Sprintf("must be at most %d bytes", maxKeyLength))
	}
	limit, err := callDeadline(req, fallback)
	if err != nil {
		return c, err
	}
	c.deadline = now.Add(limit)
	return c, nil
}

func callDeadline(req *http.Request, fallback *durationpb.Duration) (time.Duration, error) {
	text := req.Header.Get(headerDeadline)
	if text == "" && fallback != nil {
		return fallback.AsDuration(), nil
	}
	if text == "" {
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, outcome.BadField(headerDeadline, fmt.Sprintf("must be milliseconds from 1 to %d", maxDeadline.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseChat parses a chat request and validates it against the configuration.
func parseChat(req *http.Request, body []byte, current *config.Snapshot) (*chatCall, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, outcome.BadField(badJSONField(err), err.Error())
	}
	switch {
	case parsed.Model == "":
		return nil, outcome.BadField("model", "must be set")
	case len(parsed.Messages) == 0:
		return nil, outcome.BadField("messages", "must hold at least one message")
	case parsed.MaxTokens < 0 || parsed.MaxTokens > maxTokens:
		return nil, outcome.BadField("max_tokens", fmt.Sprintf("must be from 0 to %d", maxTokens))
	}
	model, ok := current.Model(parsed.Model)
	if !ok {
		return nil, &outcome.Error{Reason: outcome.ReasonUnknownModel, Run: outcome.NotRun, Field: "model", Message: fmt.Sprintf("%q is not offered", parsed.Model)}
	}
	common, err := newCall(req, body, model.Spec.GetDefaultDeadline())
	if err != nil {
		return nil, err
	}
	c := &chatCall{call: common, model: model, name: parsed.Model, maxTokens: parsed.MaxTokens, stream: parsed.Stream}
	if !mayCall(model.Spec, c.organisation) {
		return nil, outcome.Refuse(outcome.ReasonForbidden, fmt.Sprintf("organisation %q may not call %q", c.organisation, c.name))
	}
	if model.Spec.GetNonIdempotent() && c.key == "" {
		return nil, missingKey()
	}
	prompt, err := json.Marshal(parsed.Messages)
	if err != nil {
		return nil, outcome.BadField("messages", err.Error())
	}
	c.prompt = string(prompt)
	if text := req.Header.Get(headerLastEventID); text != "" {
		from, err := parseEventID(text)
		if err != nil {
			return nil, outcome.BadField(headerLastEventID, err.Error())
		}
		c.resumeFrom = &from
	}
	return c, nil
}

func missingKey() error {
	return &outcome.Error{
		Reason:  outcome.ReasonMissingKey,
		Run:     outcome.NotRun,
		Field:   headerIdempotencyKey,
		Message: "requests that may not be repeated need this header",
	}
}

func mayCall(model *pb.Model, organisation string) bool {
	if len(model.GetOrganisations()) == 0 {
		return true
	}
	for _, allowed := range model.GetOrganisations() {
		if allowed == organisation {
			return true
		}
	}
	return false
}

func badJSONField(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field
	}
	return "body"
}
