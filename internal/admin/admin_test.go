package admin

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"masthill/internal/netcase"
	"masthill/internal/readiness"
)

// call makes one call and tells its status and body.
func call(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n")
	all, err := io.ReadAll(c) // the server closes: one call a connection
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	fields := strings.Fields(head)
	if err != nil || len(fields) < 2 {
		t.Fatalf("%s %s: %q, %v", method, path, all, err)
	}
	status := 0
	for _, c := range fields[1] {
		status = status*10 + int(c-'0')
	}
	return status, body
}

func TestCalls(t *testing.T) {
	s := New(&readiness.State{}, netcase.DiscardLogger())
	addr := netcase.Serve(t, s.Serve)
	for k, step := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/healthcheck", 503, "starting\n"},
		{"start", "", 0, ""},
		{"GET", "/healthcheck", 200, "ready\n"},
		{"POST", "/healthcheck/fail", 200, "draining\n"},
		{"GET", "/healthcheck", 503, "draining\n"},
		{"POST", "/healthcheck/fail", 200, "draining\n"},
		{"POST", "/healthcheck/ok", 200, "ready\n"},
		{"POST", "/healthcheck/ok", 200, "ready\n"},
		{"GET", "/healthcheck", 200, "ready\n"},
		{"GET", "/healthcheck/fail", 405, "ready\n"},
		{"DELETE", "/healthcheck/ok", 405, "ready\n"},
		{"POST", "/healthcheck", 405, "ready\n"},
		{"GET", "//healthcheck", 404, "ready\n"},
		{"GET", "/", 404, "ready\n"},
		{"GET", "/stats", 404, "ready\n"},
		{"end", "", 0, ""},
		{"GET", "/healthcheck", 503, "ending\n"},
		{"POST", "/healthcheck/fail", 200, "ending\n"},
		{"POST", "/healthcheck/ok", 409, "ending\n"},
	} {
		switch step.method {
		case "start":
			s.State.MarkStarted()
		case "end":
			s.State.End()
		default:
			if status, body := call(t, addr, step.method, step.path); status != step.status || body != step.body {
				t.Errorf("step %d: %s %s: %d %q, want %d %q", k, step.method, step.path, status, body, step.status, step.body)
			}
		}
	}
}

// Callers that say nothing, or half a call, keep no answer waiting, and are gone after callFor.
func TestHalfCallsKeepNobodyOut(t *testing.T) {
	s := New(&readiness.State{}, netcase.DiscardLogger())
	s.State.MarkStarted()
	addr := netcase.Serve(t, s.Serve)
	var half []net.Conn
	for k := range 4 * DefaultMaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if k%2 == 0 {
			io.WriteString(c, "GET /healthcheck HT")
		}
		half = append(half, c)
		if status, _ := call(t, addr, "GET", "/healthcheck"); status != http.StatusOK {
			t.Fatalf("beside %d half calls: %d", k, status)
		}
	}
	s.mu.Lock()
	if n := len(s.open); n > DefaultMaxConnections {
		t.Errorf("%d connections held", n)
	}
	s.mu.Unlock()
	for _, c := range half {
		c.SetReadDeadline(time.Now().Add(10 * callFor))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatal("a half call is held")
		}
	}
}

// Honest calls at once, more than there are places: each has its answer, as none is old enough to make room.
func TestManyCallsAtOnce(t *testing.T) {
	s := New(&readiness.State{}, netcase.DiscardLogger())
	s.State.MarkStarted()
	addr := netcase.Serve(t, s.Serve)
	var wg sync.WaitGroup
	for range 8 * DefaultMaxConnections {
		wg.Go(func() {
			if status, _ := call(t, addr, "GET", "/healthcheck"); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	wg.Wait()
}
