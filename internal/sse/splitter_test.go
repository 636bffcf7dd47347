package sse

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestSplitterInParts guards against blank lines that are missed, or found where none is, since the stream
// arrives in parts.
func TestSplitterInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.SliceOf(rapid.SampledFrom([]byte("a\n\r"))).Draw(t, "stream")
		cuts := rapid.SliceOf(rapid.IntRange(1, 4)).Draw(t, "parts")
		var parts Splitter
		var got []byte
		for left := stream; len(left) > 0; {
			length := len(left)
			if len(cuts) > 0 {
				length, cuts = min(length, cuts[0]), cuts[1:]
			}
			got = append(got, parts.Add(left[:length])...)
			left = left[length:]
		}
		var whole Splitter
		want := bytes.Clone(whole.Add(stream))
		if !bytes.Equal(got, want) || !bytes.Equal(parts.Rest(), whole.Rest()) {
			t.Fatalf("%q: %q in parts, %q at once", stream, got, want)
		}
	})
}

// BenchmarkEndlessEvent is one event of MaxEvent bytes in reads of 4 KiB.
func BenchmarkEndlessEvent(b *testing.B) {
	data := bytes.Repeat([]byte("data: x\n"), 4<<10/8)
	for b.Loop() {
		var s Splitter
		for !s.Full() {
			s.Add(data)
		}
	}
}
