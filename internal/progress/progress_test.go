package progress

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	limit   = 100 * time.Millisecond
	longest = time.Second
)

// TestMovesOn guards against work that is cut although it moves on, also if a part of it does so.
func TestMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := WithTimeout(t.Context(), limit, longest)
		defer cancelOuter()
		inner, cancel := WithTimeout(outer, 2*limit, longest)
		for range 5 {
			time.Sleep(limit - time.Millisecond)
			Report(inner)
		}
		require.NoError(t, outer.Err())
		cancel()
		time.Sleep(limit + time.Millisecond)
		require.ErrorIs(t, Err(outer), context.DeadlineExceeded)
		require.ErrorIs(t, Err(inner), context.Canceled)
	})
}

// TestEndsAfterLongest guards against work that goes on for good, a few bytes at a time.
func TestEndsAfterLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), limit, longest)
		defer cancel()
		for begun := time.Now(); time.Since(begun) < longest; time.Sleep(limit / 2) {
			require.NoError(t, ctx.Err())
			Report(ctx)
		}
		time.Sleep(time.Millisecond)
		require.ErrorIs(t, Err(ctx), context.DeadlineExceeded)
	})
}

// TestReaderReportsBytes guards against single bytes that count as progress.
func TestReaderReportsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const least = 10
		ctx, cancel := WithTimeout(t.Context(), limit, longest)
		defer cancel()
		body := Reader(ctx, bytes.NewReader(make([]byte, 100)), least)
		read := func(count int) {
			_, err := io.ReadFull(body, make([]byte, count))
			require.NoError(t, err)
			time.Sleep(limit * 2 / 3)
		}
		read(least)
		require.NoError(t, ctx.Err())
		read(least)
		require.NoError(t, ctx.Err())
		read(1)
		read(1)
		require.ErrorIs(t, Err(ctx), context.DeadlineExceeded)
	})
}
