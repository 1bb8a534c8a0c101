// Package netcase is the one helper of the tests of network code: random cuts of valid messages and random
// garbage, from a fixed seed.
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
func RandomReader(t *rapid.T, data []byte) io.Reader { return &cut{t, data} }

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

// Arrived tells whether all that was written to a connection has come to the other side's machine. A closed connection
// does not tell, and counts as arrived.
func AllAcknowledged(t *testing.T, c net.Conn) bool {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	left := 0
	if raw.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	return left == 0
}

// Quiet is a logger for tests that do not look at the log.
func DiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Listen opens a loopback port of the machine's choice, closed with the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Accept serves a stand-in's connections until the test ends, and gives its address.
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

// HTTP serves a stand-in's requests until the test ends, and gives its address.
func ServeHTTP(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	l := Listen(t)
	server := &http.Server{Handler: handle}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// Serve runs a front on a loopback port until the test ends, and gives its address.
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
