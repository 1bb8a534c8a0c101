// Package netcase is the one helper of the tests of network code: random cuts of valid messages and random
// garbage, from a fixed seed.
package netcase

import (
	"flag"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"
)

// Check runs a property with the project's fixed seed, so that every run gives the same verdict.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "150",
		"rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, prop)
}

// Cut gives the data in pieces of random sizes, as a network does.
func Cut(t *rapid.T, data []byte) io.Reader { return &cut{t, data} }

type cut struct {
	t    *rapid.T
	data []byte
}

func (c *cut) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := rapid.IntRange(1, min(len(p), len(c.data))).Draw(c.t, "piece")
	n = copy(p[:n], c.data)
	c.data = c.data[n:]
	return n, nil
}

// Garbage gives random bytes, or a valid message with some of its bytes changed, doubled or left out.
func Garbage(t *rapid.T, valid []byte) []byte {
	if rapid.Bool().Draw(t, "random") {
		return rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "bytes")
	}
	b := append([]byte(nil), valid...)
	for range rapid.IntRange(1, 6).Draw(t, "edits") {
		if len(b) == 0 {
			break
		}
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			b[at] = rapid.Byte().Draw(t, "byte")
		case 1:
			b = append(b[:at], b[at+1:]...)
		case 2:
			b = append(b[:at], append([]byte{b[at]}, b[at:]...)...)
		}
	}
	return b
}

// Quiet is a logger for tests that do not look at the log.
func Quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }
