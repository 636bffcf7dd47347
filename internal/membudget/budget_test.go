package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestReaderIsBounded guards against a body that is held beyond the budget, and against bytes
// that stay accounted for after their request.
func TestReaderIsBounded(t *testing.T) {
	b := New(4 * readStep)
	first, second := b.Open(), b.Open()
	body, err := io.ReadAll(first.Reader(strings.NewReader(strings.Repeat("a", 3*readStep-1))))
	require.NoError(t, err)
	require.Len(t, body, 3*readStep-1)
	require.Equal(t, int64(3*readStep), b.Held())
	body, err = io.ReadAll(second.Reader(strings.NewReader(strings.Repeat("b", 2*readStep))))
	require.ErrorIs(t, err, ErrFull)
	require.Len(t, body, readStep, "what there was room for")
	require.Equal(t, int64(1), b.Refusals())
	first.Close()
	second.Close()
	require.Zero(t, b.Held())
}

// TestNoBudget checks that a process without a budget holds everything.
func TestNoBudget(t *testing.T) {
	var b *Budget
	s := b.Open()
	defer s.Close()
	body, err := io.ReadAll(s.Reader(bytes.NewReader(make([]byte, 1<<20))))
	require.NoError(t, err)
	require.Len(t, body, 1<<20)
}

// TestBudgetProperty checks over shares that grow and close in any order that the limit holds,
// that nothing is lost, and that a reader returns what it was given.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1000).Draw(t, "limit")
		b := New(limit)
		shares := make([]*Share, 4)
		held := make([]int64, len(shares))
		for i := range shares {
			shares[i] = b.Open()
		}
		for range 50 {
			i := rapid.IntRange(0, len(shares)-1).Draw(t, "share")
			if rapid.Bool().Draw(t, "close") {
				shares[i].Close()
				held[i] = 0
			} else if n := rapid.Int64Range(0, 600).Draw(t, "n"); shares[i].Grow(n) {
				held[i] = max(held[i], n)
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if b.Held() != sum || sum > limit {
				t.Fatalf("%d bytes are held, %d are accounted for, %d allowed", sum, b.Held(), limit)
			}
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 3*readStep).Draw(t, "data")
		s := New(1 << 20).Open()
		got, err := io.ReadAll(s.Reader(bytes.NewReader(data)))
		if !bytes.Equal(got, data) || err != nil && !errors.Is(err, io.EOF) {
			t.Fatal("another body was read")
		}
	})
}
