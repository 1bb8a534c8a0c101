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

// request sends a request and returns the status and body of the answer.
func request(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n")
	all, err := io.ReadAll(c) // the server closes the connection after one request
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

func TestHealthCheck(t *testing.T) {
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
			if status, body := request(t, addr, step.method, step.path); status != step.status || body != step.body {
				t.Errorf("step %d: %s %s: %d %q, want %d %q", k, step.method, step.path, status, body, step.status, step.body)
			}
		}
	}
}

// Clients that send nothing or an incomplete request do not keep others from being answered, and are disconnected after
// requestTimeout.
func TestIncompleteRequestsDoNotBlock(t *testing.T) {
	s := New(&readiness.State{}, netcase.DiscardLogger())
	s.State.MarkStarted()
	addr := netcase.Serve(t, s.Serve)
	var incomplete []net.Conn
	for k := range 4 * DefaultMaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if k%2 == 0 {
			io.WriteString(c, "GET /healthcheck HT")
		}
		incomplete = append(incomplete, c)
		if status, _ := request(t, addr, "GET", "/healthcheck"); status != http.StatusOK {
			t.Fatalf("with %d incomplete requests before: status %d", k, status)
		}
	}
	s.mu.Lock()
	if n := len(s.open); n > DefaultMaxConnections {
		t.Errorf("%d connections open", n)
	}
	s.mu.Unlock()
	for _, c := range incomplete {
		c.SetReadDeadline(time.Now().Add(10 * requestTimeout))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatal("the connection of an incomplete request stays open")
		}
	}
}

// Of more simultaneous complete requests than MaxConnections each is answered, as no connection is old enough to be
// replaced.
func TestMoreRequestsThanConnections(t *testing.T) {
	s := New(&readiness.State{}, netcase.DiscardLogger())
	s.State.MarkStarted()
	addr := netcase.Serve(t, s.Serve)
	var wg sync.WaitGroup
	for range 8 * DefaultMaxConnections {
		wg.Go(func() {
			if status, _ := request(t, addr, "GET", "/healthcheck"); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	wg.Wait()
}

// Guards against a lost health check: on a busy processor, a connection was evicted with its whole request unread.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	s := New(&readiness.State{}, netcase.DiscardLogger())
	s.MaxConnections = 2
	admit := func() (net.Conn, bool) {
		accepted, peer := netcase.TCPPair(t)
		return peer, s.admit(accepted)
	}
	for range s.MaxConnections {
		peer, _ := admit()
		io.WriteString(peer, "GET /healthcheck HTTP/1.1\r\n\r\n")
	}
	for k := range s.open {
		for !s.open[k].in.HasUnread() {
			time.Sleep(time.Millisecond)
		}
		s.open[k].openedAt = time.Now().Add(-minEvictionAge)
	}
	first, second := s.open[0], s.open[1]
	if _, admitted := admit(); admitted {
		t.Error("a connection was admitted in place of one with an unread request")
	}
	s.onConnState(second.Conn, http.StateActive) // input that is never read keeps no connection
	if _, admitted := admit(); !admitted || s.open[0] != first {
		t.Error("the connection that had been read from did not make room")
	}
}
