package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutgauge/internal/claim"
	"chestnutgauge/internal/engine"
	"chestnutgauge/internal/outcome"
)

const jsonType = "application/json"

// errorBody is the body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      outcome.Reason `json:"code"`
	Message   string         `json:"message"`
	Field     string         `json:"field,omitempty"`
	Run       outcome.Run    `json:"run"`
	RequestID string         `json:"request_id,omitempty"`
}

// asOutcome converts any error into one for callers. An error of another type
// carries no information about the run, so the run is unknown.
func asOutcome(err error) *outcome.Error {
	var known *outcome.Error
	if errors.As(err, &known) {
		return known
	}
	return &outcome.Error{Reason: outcome.ReasonInterrupted, Run: outcome.Unknown, Message: err.Error()}
}

func detail(requestID string, e *outcome.Error) errorDetail {
	return errorDetail{Code: e.Reason, Message: e.Message, Field: e.Field, Run: e.Run, RequestID: requestID}
}

// writeError sends an error response.
func writeError(w http.ResponseWriter, requestID string, err error) {
	e := asOutcome(err)
	header := w.Header()
	header.Set("Content-Type", jsonType)
	header.Set(headerRun, string(e.Run))
	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail(requestID, e)})
}

// completion is the body of a complete response.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completionChunk is the data of one event of a streamed response.
type completionChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

// sink receives a response chunk by chunk.
type sink interface {
	// start is called before the first chunk, with the endpoint that sends the
	// response.
	start(requestID, endpoint string)
	// chunk receives the next chunk. An error means that the caller has
	// disconnected.
	chunk(engine.Chunk) error
	// started reports whether anything was sent to the caller.
	started() bool
	// end finishes a complete response.
	end() error
	// fail sends an error to the caller.
	fail(err error)
}

// bufferedSink buffers the response and sends it at the end.
type bufferedSink struct {
	w         http.ResponseWriter
	call      *chatCall
	requestID string
	endpoint  string
	text      strings.Builder
	tokens    int
	finish    string
}

func (s *bufferedSink) start(requestID, endpoint string) {
	s.requestID, s.endpoint = requestID, endpoint
	s.text.Reset()
	s.tokens = 0
}

func (s *bufferedSink) chunk(chunk engine.Chunk) error {
	s.text.WriteString(chunk.Text)
	s.tokens += chunk.Tokens
	s.finish = chunk.FinishReason
	return nil
}

func (s *bufferedSink) started() bool {
	return false
}

func (s *bufferedSink) body() ([]byte, error) {
	return json.Marshal(completion{
		ID:      s.call.id,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   s.call.name,
		Choices: []completionChoice{{
			Message:      answerMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: s.finish,
		}},
		Usage: usage{CompletionTokens: s.tokens},
	})
}

func (s *bufferedSink) end() error {
	body, err := s.body()
	if err != nil {
		return err
	}
	writeStored(s.w, s.call.id, claim.Answer{Status: http.StatusOK, ContentType: jsonType, Body: body})
	return nil
}

func (s *bufferedSink) fail(err error) {
	writeError(s.w, s.call.id, err)
}

// writeStored writes a complete response of a request that ran.
func writeStored(w http.ResponseWriter, requestID string, answer claim.Answer) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(headerRequestID, requestID)
	w.Header().Set(headerRun, string(outcome.Ran))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// streamSink sends each chunk as a server-sent event.
type streamSink struct {
	w         http.ResponseWriter
	call      *chatCall
	requestID string
	endpoint  string
	opened    bool
	created   int64
}

func (s *streamSink) start(requestID, endpoint string) {
	s.requestID, s.endpoint = requestID, endpoint
}

func (s *streamSink) started() bool {
	return s.opened
}

func (s *streamSink) open() {
	if s.opened {
		return
	}
	s.opened = true
	s.created = time.Now().Unix()
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, s.call.id)
	header.Set(headerEndpoint, s.endpoint)
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) chunk(chunk engine.Chunk) error {
	s.open()
	choice := chunkChoice{Delta: chunkDelta{Content: chunk.Text}}
	if chunk.Done {
		choice.FinishReason = &chunk.FinishReason
	}
	data, err := json.Marshal(completionChunk{
		ID: s.call.id, Object: "chat.completion.chunk", Created: s.created,
		Model: s.call.name, Choices: []chunkChoice{choice},
	})
	if err != nil {
		return err
	}
	id := eventID{requestID: s.requestID, endpoint: s.endpoint, offset: chunk.Offset + chunk.Tokens}
	return s.send(fmt.Sprintf("id: %s\ndata: %s\n\n", id, data))
}

func (s *streamSink) send(event string) error {
	if _, err := s.w.Write([]byte(event)); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *streamSink) end() error {
	s.open()
	return s.send("data: [DONE]\n\n")
}

// fail sends the error as an event if the stream has begun. The stream then
// ends without [DONE].
func (s *streamSink) fail(err error) {
	if !s.opened {
		writeError(s.w, s.call.id, err)
		return
	}
	data, encodeErr := json.Marshal(errorBody{Error: detail(s.call.id, asOutcome(err))})
	if encodeErr != nil {
		return
	}
	_ = s.send(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}
