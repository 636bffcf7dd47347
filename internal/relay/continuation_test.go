package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/outcome"
)

const eventThree = "id: 3\ndata: c\n\n"

// secondHead is a response that follows another one on its connection.
const secondHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nfailed\n\n"

func dropSignature(reply *Reply) { reply.Signed = false }

func otherContent(reply *Reply) { reply.EventStream = false }

// byteByByte has each read of the body bring one byte.
func byteByByte(reply *Reply) {
	reply.Body = struct {
		io.Reader
		io.Closer
	}{iotest.OneByteReader(reply.Body), reply.Body}
}

// faultyContinuation is what an endpoint answers that is asked for the events after the first.
type faultyContinuation struct {
	name string
	do   behaviour
	// adds are the sound events that it begins with.
	adds string
}

// faultyContinuations are the answers of which nothing but sound events may reach the caller, and
// none of which shows that the stream is complete.
func faultyContinuations() []faultyContinuation {
	const comment = ": ping\n\n"
	const page = "<html>\n<p class=\"error: 5\">failed</p>\n\n"
	return []faultyContinuation{
		{name: "empty", do: answer(200, "")},
		{name: "empty, without content", do: answer(204, "")},
		{name: "empty, without framing", do: unframed(200, "")},
		{name: "comments", do: answer(200, comment), adds: comment},
		{name: "no signature", do: withReply(answer(200, eventTwo), dropSignature)},
		{name: "empty, no signature", do: withReply(answer(200, ""), dropSignature)},
		{name: "other content", do: withReply(answer(200, eventTwo), otherContent)},
		{name: "page", do: withReply(answer(200, page), otherContent)},
		{name: "page of a part", do: withReply(answer(206, page), otherContent)},
		{name: "page declared as events", do: answer(200, page)},
		{name: "text declared as events", do: answer(200, "internal error\n\n")},
		{name: "field that is no event's", do: answer(200, "error: internal\n\n")},
		{name: "begins again", do: answer(200, eventOne+eventTwo)},
		{name: "earlier event", do: answer(200, "id: 0\ndata: z\n\n"+eventOne+eventTwo)},
		{name: "events without ids", do: answer(200, "data: b\n\n")},
		{name: "events with other ids", do: answer(200, "id: b\ndata: b\n\n")},
		{name: "skips an event", do: answer(200, eventThree)},
		{name: "second head", do: unframed(200, secondHead)},
		{name: "event and second head", do: unframed(200, eventTwo+secondHead), adds: eventTwo},
		{name: "event twice", do: answer(200, eventTwo+eventTwo), adds: eventTwo},
		{name: "event and earlier event", do: answer(200, eventTwo+eventOne), adds: eventTwo},
		{name: "event and text", do: answer(200, eventTwo+"internal error\n\n"), adds: eventTwo},
		{name: "event without an id", do: answer(200, eventTwo+"data: c\n\n"), adds: eventTwo},
		{name: "error", do: answer(500, "failed\n\n")},
		{name: "error without end", do: withReply(answer(400, ""), func(reply *Reply) { reply.Body = neverEnding{} })},
	}
}

// neverEnding is a body that never ends.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return copy(p, "data: x\n\n"), nil }
func (neverEnding) Close() error               { return nil }

// requireBrokenOff requires that the caller got some events and not the end of the stream.
func requireBrokenOff(t *testing.T, want string, got *fakeAnswer, failure *Failure) {
	t.Helper()
	require.Equal(t, want, got.body.String())
	require.NotNil(t, failure, "the stream looks complete")
	require.Equal(t, ReasonTruncated, failure.Reason)
	require.Equal(t, outcome.Unknown, failure.Run)
}

// TestOnlyEventsContinueStream guards against anything in a stream that was broken off but the events
// that follow, each once, and against its end as a complete one: an error's text or head, a page,
// events that begin again, an empty success.
func TestOnlyEventsContinueStream(t *testing.T) {
	for _, tc := range faultyContinuations() {
		for name, change := range map[string]func(*Reply){"at once": func(*Reply) {}, "byte by byte": byteByByte} {
			t.Run(tc.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					endpoints := &fakeEndpoints{next: []behaviour{truncated(200, eventOne), withReply(tc.do, change), noResponse}}
					got := &fakeAnswer{}
					rejected := streamsRejected.Get()
					failure := newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got)
					requireBrokenOff(t, eventOne+tc.adds, got, failure)
					if !strings.HasSuffix(tc.name, "without framing") {
						require.Equal(t, rejected+1, streamsRejected.Get(), "counted")
					}
				})
			})
		}
	}
}

// TestStreamGoesOnAfterFaultyContinuation guards against a stream that ends since an endpoint that was
// asked to go on with it could not, though another one can.
func TestStreamGoesOnAfterFaultyContinuation(t *testing.T) {
	for _, tc := range faultyContinuations() {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rest := strings.TrimPrefix(eventTwo+eventThree, tc.adds)
				endpoints := &fakeEndpoints{next: []behaviour{truncated(200, eventOne), tc.do, answer(200, rest)}}
				got := &fakeAnswer{}
				require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
				require.Equal(t, eventOne+eventTwo+eventThree, strings.ReplaceAll(got.body.String(), ": ping\n\n", ""))
			})
		})
	}
}

// TestSuccessorOfStalledStream guards against the same where the endpoint goes on with a stream that
// has stalled.
func TestSuccessorOfStalledStream(t *testing.T) {
	for _, tc := range faultyContinuations() {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: []behaviour{stall(eventOne), tc.do, noResponse, noResponse, noResponse}}
				got := &fakeAnswer{}
				failure := newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got)
				require.Equal(t, eventOne+tc.adds, got.body.String())
				require.NotNil(t, failure, "the stream looks complete")
			})
		})
	}
}

// TestFirstAttemptBringsOnlyEvents guards against bytes that are no event, or events that go back,
// within the stream of the first endpoint, also of one that may not be resumed.
func TestFirstAttemptBringsOnlyEvents(t *testing.T) {
	tests := map[string]string{
		"second head":       eventOne + secondHead,
		"text":              eventOne + "internal error\n\n",
		"the same event":    eventOne + eventOne,
		"an earlier event":  eventTwo + eventOne,
		"a page":            eventOne + "<html>\n\n",
		"text and an event": eventOne + "internal error\n\n" + eventTwo,
	}
	for name, body := range tests {
		for _, kind := range []string{"stream", "resume"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					endpoints := &fakeEndpoints{next: []behaviour{unframed(200, body), noResponse, noResponse}}
					got := &fakeAnswer{}
					failure := newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got)
					requireBrokenOff(t, body[:len(eventOne)], got, failure)
				})
			})
		}
	}
}

// TestUnsignedStreamIsNoSuccess guards against a success of a streaming route that lacks the
// endpoint's signature.
func TestUnsignedStreamIsNoSuccess(t *testing.T) {
	// A resumable one is sent again, and gets no response.
	reasons := map[string]Reason{"stream": ReasonInvalidResponse, "resume": ReasonTruncated}
	for kind, reason := range reasons {
		for _, body := range []string{"", eventOne} {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &fakeEndpoints{next: []behaviour{withReply(answer(200, body), dropSignature), noResponse, noResponse}}
				got := &fakeAnswer{}
				failure := newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got)
				require.NotNil(t, failure, "the stream looks complete")
				require.Equal(t, reason, failure.Reason)
				require.Equal(t, outcome.Unknown, failure.Run)
				require.Empty(t, got.body.String())
				require.Zero(t, got.status)
			})
		}
	}
}

// TestSoundStreamsAreUnchanged guards against bytes of a sound stream that are held back or changed:
// line ends, comments, fields of the service before an event, parts of an event in several reads, ids
// that skip numbers, and, on a stream that has no position, none at all.
func TestSoundStreamsAreUnchanged(t *testing.T) {
	tests := map[string]string{
		"line feeds":              eventOne + eventTwo,
		"carriage returns":        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"both":                    "id: 1\r\ndata: a\n\r\n" + eventTwo,
		"comments":                ": ping\n\n" + eventOne + ": ping\n: ping\n\n" + eventTwo,
		"version":                 "weight-versions: 1\n" + eventOne + "weight-versions: 2\n" + eventTwo,
		"ids that skip numbers":   "id: 4\ndata: a\n\nid: 6\ndata: b\n\nid: 100\ndata: c\n\n",
		"no ids":                  "data: a\n\ndata: b\n\n",
		"ids that are no numbers": "id: x\ndata: a\n\nid: y\ndata: b\n\n",
		"fields without values":   "id: 1\ndata\n\nevent\ndata:\n\n",
		"other fields":            "retry: 3000\n\nevent: ping\n\nid:1\nevent:e\ndata:a\ndata:b\n\n",
		"without a space":         "id:1\ndata:a\n\nid:2\ndata:b\n\n",
		"data that looks like ids": "id: 1\ndata: id: 7\ndata: HTTP/1.1 500 Internal Server Error\n\n" +
			"id: 2\ndata: {\"a\": 1}\n\n",
	}
	for name, body := range tests {
		for _, kind := range []string{"stream", "resume"} {
			for _, change := range []func(*Reply){func(*Reply) {}, byteByByte, otherContent} {
				t.Run(name+", "+kind, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						got := &fakeAnswer{}
						endpoints := &fakeEndpoints{next: []behaviour{withReply(answer(200, body), change)}}
						require.Nil(t, newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got))
						require.Equal(t, body, got.body.String())
					})
				})
			}
		}
	}
}

// TestStreamWithoutPositionIsNotContinued guards against events that are delivered twice since it is
// unknown after which one the stream was broken off.
func TestStreamWithoutPositionIsNotContinued(t *testing.T) {
	for _, body := range []string{"data: a\n\n", eventOne + "data: b\n\n", "id: x\ndata: a\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{truncated(200, body), answer(200, body), answer(200, body)}}
			got := &fakeAnswer{}
			failure := newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got)
			requireBrokenOff(t, body, got, failure)
			require.Len(t, endpoints.endpointIDs, 1)
		})
		synctest.Test(t, func(t *testing.T) {
			endpoints := &fakeEndpoints{next: []behaviour{stall(body), answer(200, body), answer(200, body)}}
			got := &fakeAnswer{}
			require.NotNil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
			require.Equal(t, body, got.body.String())
			require.Len(t, endpoints.endpointIDs, 1)
		})
	}
}

// TestStreamAfterErrorResponse guards against a stream that follows a part of an error response, which
// was too long to be read whole before it was forwarded.
func TestStreamAfterErrorResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := strings.Repeat("not found ", 2*maxBufferedBody/10)
		endpoints := &fakeEndpoints{next: []behaviour{truncated(404, text), answer(200, eventOne), answer(200, eventOne)}}
		got := &fakeAnswer{}
		failure := newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got)
		require.Equal(t, "", strings.TrimPrefix(got.body.String(), text), "follows the error response")
		requireBrokenOff(t, text, got, failure)
	})
}

// failingAnswer is a caller to which one write fails.
type failingAnswer struct {
	fakeAnswer
	failed bool
}

var errCallerSlow = errors.New("caller takes no bytes")

// Write implements Answer.
func (a *failingAnswer) Write(data []byte) error {
	if !a.failed {
		a.failed = true
		return errCallerSlow
	}
	return a.fakeAnswer.Write(data)
}

// TestStreamEndsWithFailedWrite guards against a stream that goes on behind a piece that could not be
// delivered.
func TestStreamEndsWithFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventOne), answer(200, eventTwo), answer(200, eventTwo)}}
		got := &failingAnswer{}
		failure := newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got)
		requireBrokenOff(t, "", &got.fakeAnswer, failure)
		require.Len(t, endpoints.endpointIDs, 1)
	})
}

// takenUp returns a request by which a caller takes a stream up after its first event.
func takenUp(kind string) *Request {
	req := request(kind, "m")
	req.LastEvent = "1"
	return req
}

// TestStreamTakenUpByCaller guards against events that a caller has, and against other content, in the
// answer to a caller that takes a stream up itself. An endpoint's own empty answer is forwarded: it
// may be all that was missing.
func TestStreamTakenUpByCaller(t *testing.T) {
	passed := map[string]behaviour{
		"":                    answer(200, ""),
		": ping\n\n":          answer(200, ": ping\n\n"),
		eventTwo:              answer(200, eventTwo),
		eventTwo + eventThree: answer(200, eventTwo+eventThree),
		eventThree:            answer(200, eventThree),
	}
	for body, do := range passed {
		t.Run("passed: "+body, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := versionRelay(&fakeEndpoints{next: []behaviour{do}}, engine("a1", "1"))
				r.Origins.(*ownOrigins).onlyVersion = "1"
				got := &fakeAnswer{}
				require.Nil(t, r.Serve(t.Context(), takenUp("resume"), got))
				require.Equal(t, body, got.body.String())
			})
		})
	}
	refused := map[string]behaviour{
		"begins again":    answer(200, eventOne+eventTwo),
		"without content": withReply(answer(204, ""), otherContent),
		"without framing": unframed(200, ""),
		"page":            withReply(answer(200, "<html>\n\n"), otherContent),
		"empty page":      withReply(answer(200, ""), otherContent),
		"no signature":    withReply(answer(200, eventTwo), dropSignature),
	}
	for name, do := range refused {
		t.Run("refused: "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := versionRelay(&fakeEndpoints{next: []behaviour{do, answer(200, eventTwo)}}, engine("a1", "1"), engine("a2", "1"))
				r.Origins.(*ownOrigins).onlyVersion = "1"
				got := &fakeAnswer{}
				require.Nil(t, r.Serve(t.Context(), takenUp("resume"), got))
				require.Equal(t, eventTwo, got.body.String())
			})
		})
	}
	t.Run("of a route without resumption", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			got := &fakeAnswer{}
			endpoints := &fakeEndpoints{next: []behaviour{answer(200, eventOne+eventTwo)}}
			require.Nil(t, newRelay(endpoints).Serve(t.Context(), takenUp("stream"), got))
			require.Equal(t, eventOne+eventTwo, got.body.String())
		})
	})
}

// TestFaultyContinuationIsFoundAtOnce guards against callers that wait while an answer is read that
// can't go on with their stream.
func TestFaultyContinuationIsFoundAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, _ Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusBadRequest, Header: http.Header{}, Body: endlessBody{ctx}, Length: -1}, nil
		}
		endpoints := &fakeEndpoints{next: []behaviour{truncated(200, eventOne), slow, answer(200, eventTwo)}}
		got := &fakeAnswer{}
		began := time.Now()
		require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, eventOne+eventTwo, got.body.String())
		require.Less(t, time.Since(began), time.Second)
	})
}
