package router

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
)

// eventID identifies a position in a response. Any router can resume the
// response from it.
type eventID struct {
	requestID string
	endpoint  string
	offset    int
}

// String returns the form that callers send in Last-Event-ID.
func (e eventID) String() string {
	return e.requestID + "/" + e.endpoint + "/" + strconv.Itoa(e.offset)
}

func parseEventID(text string) (eventID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return eventID{}, errors.New("want request/endpoint/offset")
	}
	offset, err := strconv.Atoi(parts[2])
	if err != nil || offset < 0 {
		return eventID{}, errors.New("offset must be a number from 0")
	}
	return eventID{requestID: parts[0], endpoint: parts[1], offset: offset}, nil
}

// The id of an attempt ends with a digest of its first part, the organisation
// and the model. An engine knows the attempt by the complete id, so an
// organisation that learns the id of another can't read the response: with its
// own name the digest does not match, and with another digest no engine knows
// the id.
const (
	attemptIDSeparator   = "."
	attemptIDDigestBytes = 16
)

// newAttemptID returns the id of a new attempt of a call.
func newAttemptID(c *chatCall) string {
	return bindAttempt(newRequestID(), c)
}

// bindAttempt binds an id to the call's organisation and model, unless it is
// already bound.
func bindAttempt(id string, c *chatCall) string {
	if boundTo(id, c) {
		return id
	}
	return id + attemptIDSeparator + attemptDigest(id, c)
}

// boundTo reports whether an id belongs to the call's organisation and model.
func boundTo(id string, c *chatCall) bool {
	first, digest, ok := strings.Cut(id, attemptIDSeparator)
	return ok && digest == attemptDigest(first, c)
}

func attemptDigest(first string, c *chatCall) string {
	digest := sha256.Sum256([]byte(strings.Join([]string{first, c.name, c.organisation}, "\x00")))
	return hex.EncodeToString(digest[:attemptIDDigestBytes])
}
