// Package netcase has helpers for tests of network code: reads of random sizes and random malformed messages, both from a
// fixed seed, and servers on loopback ports that are closed with the test.
package netcase

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// Check checks a property with a fixed seed, so that every run has the same result.
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

// RandomReader returns a reader that delivers data in pieces of random sizes, as a network does.
func RandomReader(t *rapid.T, data []byte) io.Reader { return &randomReader{t, data} }

type randomReader struct {
	t    *rapid.T
	data []byte
}

func (c *randomReader) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := rapid.IntRange(1, min(len(p), len(c.data))).Draw(c.t, "piece")
	n = copy(p[:n], c.data)
	c.data = c.data[n:]
	return n, nil
}

// Garbage returns random bytes, or a valid message with up to six bytes changed, doubled or left out.
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

// AllAcknowledged reports whether the peer's kernel has acknowledged all data written to a connection. For a closed
// connection that can't be determined, and it reports true.
func AllAcknowledged(t *testing.T, c net.Conn) bool {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	unacknowledged := 0
	if raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	return unacknowledged == 0
}

// DiscardLogger returns a logger that discards all messages.
func DiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// TCPPair returns the two ends of a connection over loopback. Both are closed with the test.
func TCPPair(t *testing.T) (accepted, peer net.Conn) {
	t.Helper()
	l := Listen(t)
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted, peer
}

// Listen listens on a free loopback port. The listener is closed with the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// ServeConns calls handle for each connection to a new loopback port until the test ends, and returns the port's address.
func ServeConns(t *testing.T, handle func(c net.Conn)) string {
	t.Helper()
	l := Listen(t)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				defer context.AfterFunc(t.Context(), func() { c.Close() })()
				handle(c)
			})
		}
	})
	t.Cleanup(func() { l.Close(); wg.Wait() })
	return l.Addr().String()
}

// ServeHTTP calls handle for each HTTP request to a new loopback port until the test ends, and returns the port's
// address.
func ServeHTTP(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	l := Listen(t)
	server := &http.Server{Handler: handle}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// Serve runs a server such as a front on a new loopback port until the test ends, and returns the port's address. An
// error that serve returns fails the test.
func Serve(t *testing.T, serve func(ctx context.Context, l net.Listener) error) string {
	t.Helper()
	l := Listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, l) }()
	t.Cleanup(func() {
		l.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}
