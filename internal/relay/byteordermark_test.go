package relay

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// mark is the byte order mark that a stream of events may begin with.
const mark = "\xef\xbb\xbf"

// TestByteOrderMarkOfFirstEndpoint guards against sound streams that are cut, or changed, since they
// begin with a byte order mark.
func TestByteOrderMarkOfFirstEndpoint(t *testing.T) {
	streams := []string{mark + eventOne + eventTwo, mark + ": ping\n\n" + eventOne, mark + "\n" + eventOne, mark + "data: a\n\n"}
	for _, body := range streams {
		for _, kind := range []string{"stream", "resume"} {
			for _, change := range []func(*Reply){func(*Reply) {}, byteByByte} {
				synctest.Test(t, func(t *testing.T) {
					got := &fakeAnswer{}
					endpoints := &fakeEndpoints{next: []behaviour{withReply(answer(200, body), change), noResponse, noResponse}}
					require.Nil(t, newRelay(endpoints).Serve(t.Context(), request(kind, "m"), got), "%q", body)
					require.Equal(t, body, got.body.String())
				})
			}
		}
	}
}

// TestByteOrderMarkOfContinuation guards against a byte order mark in the middle of a stream, where it is
// a part of a field's name, and against a continuation that is refused since it begins with one: after
// a broken stream, after a stalled one, and after one that brought no event.
func TestByteOrderMarkOfContinuation(t *testing.T) {
	for name, first := range map[string]behaviour{
		eventOne:        truncated(200, eventOne),
		mark + eventOne: truncated(200, mark+eventOne),
		": ping\n\n":    truncated(200, ": ping\n\n"),
	} {
		for _, change := range []func(*Reply){func(*Reply) {}, byteByByte} {
			synctest.Test(t, func(t *testing.T) {
				got := &fakeAnswer{}
				endpoints := &fakeEndpoints{next: []behaviour{first, withReply(answer(200, mark+eventTwo), change), noResponse}}
				require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got), "%q", name)
				require.Equal(t, name+eventTwo, got.body.String())
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		got := &fakeAnswer{}
		endpoints := &fakeEndpoints{next: []behaviour{stall(mark + eventOne), answer(200, mark+eventTwo), noResponse, noResponse}}
		require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
		require.Equal(t, mark+eventOne+eventTwo, got.body.String())
	})
}

// TestByteOrderMarkAmongEvents guards against a byte order mark that is taken for the start of a stream
// though it stands behind an event.
func TestByteOrderMarkAmongEvents(t *testing.T) {
	for _, begin := range []string{eventOne, mark + eventOne} {
		synctest.Test(t, func(t *testing.T) {
			got := &fakeAnswer{}
			endpoints := &fakeEndpoints{next: []behaviour{answer(200, begin+mark+eventTwo), answer(200, eventTwo)}}
			require.Nil(t, newRelay(endpoints).Serve(t.Context(), request("resume", "m"), got))
			require.Equal(t, begin+eventTwo, got.body.String())
		})
	}
}

// TestByteOrderMarkOfStreamTakenUp guards against a caller that takes a stream up and is refused what is
// missing since the response begins with a byte order mark.
func TestByteOrderMarkOfStreamTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := versionRelay(&fakeEndpoints{next: []behaviour{answer(200, mark+eventTwo)}}, engine("a1", "1"))
		r.Origins.(*ownOrigins).onlyVersion = "1"
		got := &fakeAnswer{}
		require.Nil(t, r.Serve(t.Context(), takenUp("resume"), got))
		require.Equal(t, mark+eventTwo, got.body.String())
	})
}
