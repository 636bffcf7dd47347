package httpclient

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBoundedReader guards against a body that is cut short at its limit and looks complete.
func TestBoundedReader(t *testing.T) {
	r := NewBoundedReader(strings.NewReader("0123456789"), 4)
	read, err := io.ReadAll(r)
	require.Equal(t, "0123", string(read))
	require.ErrorIs(t, err, ErrTooLong)
	r.Reset()
	read, err = io.ReadAll(r)
	require.Equal(t, "4567", string(read))
	require.ErrorIs(t, err, ErrTooLong)
	r.Reset()
	read, err = io.ReadAll(r)
	require.Equal(t, "89", string(read))
	require.NoError(t, err)
}
