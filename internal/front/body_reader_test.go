package front

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// unlimited is a reserve function without a limit.
func unlimited(int) bool { return true }

// readAll passes data to a reader in pieces of the given size and returns what is left when the body is complete.
func readAll(b *bodyReader, data []byte, piece int) (rest []byte, done bool, refusal *RefusedError) {
	for len(data) > 0 && !done && refusal == nil {
		var n int
		n, done, refusal = b.read(data[:min(piece, len(data))])
		data = data[n:]
	}
	return data, done, refusal
}

// A caller that streams its upload sends chunks of any size. Chunks of more than 16 KiB were refused with 400, because
// their data counted as overhead of the coding until the chunk was complete (chunked-bodies of the review).
func TestChunkedBodyOfAnyChunkSizeIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 6000).Draw(t, "sixteenths"))
		var encoded bytes.Buffer
		for rest := body; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
			if rapid.Bool().Draw(t, "small") {
				size = min(size, 40)
			}
			extension := rapid.SampledFrom([]string{"", ";a=b", " ; a"}).Draw(t, "extension")
			fmt.Fprintf(&encoded, "%x%s\r\n%s\r\n", size, extension, rest[:size])
			rest = rest[size:]
			if encoded.Len() > 3*len(body)+1000 {
				t.Skip("too many small chunks")
			}
		}
		encoded.WriteString("0\r\n")
		if rapid.Bool().Draw(t, "trailer") {
			encoded.WriteString("Checksum: 1\r\n")
		}
		encoded.WriteString("\r\nGET / HTTP/1.1")
		reserved := 0
		b := newBodyReader(0, true, len(body), func(n int) bool { reserved += n; return true })
		rest, done, refusal := readAll(b, encoded.Bytes(), rapid.SampledFrom([]int{1, 7, 1000, 1 << 20}).Draw(t, "piece"))
		if refusal != nil || !done || !bytes.Equal(b.data, body) || string(rest) != "GET / HTTP/1.1" {
			t.Fatalf("done %v, refusal %v, %d of %d bytes, rest %q", done, refusal, len(b.data), len(body), rest)
		}
		if reserved != cap(b.data) {
			t.Fatalf("%d bytes reserved for a buffer of %d", reserved, cap(b.data))
		}
	})
}

func TestInvalidChunkedBodiesAreRefused(t *testing.T) {
	for body, reason := range map[string]Reason{
		"g\r\n":                  ReasonSyntax,
		"\r\n":                   ReasonSyntax,
		"-1\r\n":                 ReasonSyntax,
		"+1\r\n":                 ReasonSyntax,
		"0x1\r\n":                ReasonSyntax,
		"1\nab":                  ReasonSyntax,
		"1\r\nab\r\n":            ReasonSyntax,
		"ffffffffffffffffff\r\n": ReasonSyntax,
		"65\r\n":                 ReasonBodyTooLarge, // 101 bytes
		"64\r\n" + strings.Repeat("x", 100) + "\r\n1\r\n": ReasonBodyTooLarge,
		"1;" + strings.Repeat("x", 20<<10):                ReasonChunkOverhead,
		"0\r\n" + strings.Repeat("a: b\r\n", 4<<10):       ReasonChunkOverhead,
	} {
		is := is.New(t)
		_, done, refusal := readAll(newBodyReader(0, true, 100, unlimited), []byte(body), 9)
		is.True(!done)
		is.True(refusal != nil)
		is.Equal(refusal.Reason, reason)
	}
}

// A body is held once, and only as far as it has arrived or is about to.
func TestBodyBufferIsReservedBeforeItGrows(t *testing.T) {
	is := is.New(t)
	held, peak := 0, 0
	b := newBodyReader(1<<20, false, 1<<20, func(n int) bool {
		held += n
		peak = max(peak, held)
		return held <= 1<<20+1<<19
	})
	_, done, refusal := readAll(b, make([]byte, 1<<20), 16<<10)
	is.True(done)
	is.True(refusal == nil)
	is.Equal(held, 1<<20)

	full := newBodyReader(1<<20, false, 1<<20, func(int) bool { return false })
	_, _, refusal = readAll(full, make([]byte, 1<<20), 16<<10)
	is.Equal(refusal.Reason, ReasonBodyBufferFull)
}
