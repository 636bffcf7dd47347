package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// manyRoutes returns an encoded configuration of routes with names of their own.
func manyRoutes(from, count int) []byte {
	var out bytes.Buffer
	for i := range count {
		random := rand.New(rand.NewPCG(uint64(from+i), 1))
		fmt.Fprintf(&out, `{"name":"%x","host":"%x.example","prefix":"/%x/","kind":"safe","timeoutMs":2000,"service":"plain","maxAttempts":2},`,
			random.Uint32(), random.Uint32(), random.Uint64())
	}
	return out.Bytes()
}

// TestEncodingGivesTheValue guards against a value that differs after it was encoded, with and without an
// earlier one.
func TestEncodingGivesTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOf(rapid.Byte())
		before, after := value.Draw(t, "before"), value.Draw(t, "after")
		if rapid.Bool().Draw(t, "similar") {
			after = append(bytes.Clone(before), after...)
		}
		for _, earlier := range [][]byte{nil, before} {
			got, err := Decode(Encode(earlier, after), earlier)
			if err != nil || !bytes.Equal(got, after) {
				t.Fatalf("got %q, %v", got, err)
			}
		}
	})
}

// TestEncodingOfManyRoutesIsSmall guards against many new routes that take nearly as many bytes as the whole
// value, of which a narrow link carries few in a second.
func TestEncodingOfManyRoutesIsSmall(t *testing.T) {
	before := manyRoutes(0, 1400)
	after := append(bytes.Clone(before), manyRoutes(1400, 1400)...)
	whole, changed := Encode(nil, after), Encode(before, after)
	t.Logf("%d bytes, %d encoded, %d from the earlier value", len(after), len(whole), len(changed))
	require.Less(t, len(whole), len(after)/3)
	require.Less(t, len(changed), len(whole)*2/3)
}

// TestInvalidEncodings guards against bytes of another node that are used though they are cut short, changed
// or made from another value.
func TestInvalidEncodings(t *testing.T) {
	before := manyRoutes(0, 50)
	encoded := Encode(before, append(bytes.Clone(before), manyRoutes(50, 50)...))
	for cut := range len(encoded) {
		_, err := Decode(encoded[:cut], before)
		require.Error(t, err)
	}
	_, err := Decode(encoded, manyRoutes(1, 50))
	require.ErrorIs(t, err, ErrOtherBase)
	for i := range encoded {
		changed := bytes.Clone(encoded)
		changed[i] ^= 0x55
		got, err := Decode(changed, before)
		if err == nil {
			require.Equal(t, append(bytes.Clone(before), manyRoutes(50, 50)...), got)
		}
	}
}

// BenchmarkEncode measures the encoding of 4,200 routes of which 1,400 are new, and of one that has changed.
func BenchmarkEncode(b *testing.B) {
	before := manyRoutes(0, 2800)
	for name, after := range map[string][]byte{
		"third new": append(bytes.Clone(before), manyRoutes(2800, 1400)...),
		"one route": append(bytes.Clone(before), manyRoutes(2800, 1)...),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				Encode(before, after)
			}
		})
	}
}
