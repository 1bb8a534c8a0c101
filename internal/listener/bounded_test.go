package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"masthill/internal/descriptors"
)

// openBounded opens a bounded listener, closed with the test.
func openBounded(t *testing.T, limit int) *Bounded {
	t.Helper()
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	b := NewBounded(l, descriptors.NewLimiter(limit))
	t.Cleanup(func() { b.Close() })
	return b
}

// No connection is accepted beyond the limit, not even to be closed again; when one is closed, the next is accepted.
func TestNoAcceptBeyondLimit(t *testing.T) {
	b := openBounded(t, 2)
	for range 5 {
		c, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	accepted, failed := make(chan net.Conn), make(chan error, 1)
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- c
		}
	}()
	first, second := <-accepted, <-accepted
	select {
	case <-accepted:
		t.Fatal("accepted a connection beyond the limit")
	case <-time.After(50 * time.Millisecond): // a connection beyond the limit would be accepted at once
	}
	first.Close()
	first.Close() // the second Close must not release another descriptor
	third := <-accepted
	select {
	case <-accepted:
		t.Fatal("accepted a connection beyond the limit")
	case <-time.After(50 * time.Millisecond):
	}
	b.SetLimit(3)
	fourth := <-accepted
	b.Close()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
	for _, c := range []net.Conn{second, third, fourth} {
		c.Close()
	}
	for startedAt := time.Now(); b.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > 10*time.Second {
			t.Fatalf("%d descriptors held after all connections were closed", b.Held())
		}
	}
}

// Clients that keep connecting, and reconnect whenever their connection is closed, do not keep a draining listener open:
// a process that was told to shut down went on accepting for minutes.
func TestDrainEndsUnderConstantConnects(t *testing.T) {
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	connect := func() {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			defer c.Close()
		}
	}
	connect()
	l.Drain()
	startedAt := time.Now()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		connect() // so that the queue is never empty
		if time.Since(startedAt) > 10*time.Second {
			t.Fatal("the drain does not end")
		}
	}
}

// When no descriptor is left, Accept waits and goes on as soon as one is free.
func TestAcceptRetriesWithoutDescriptors(t *testing.T) {
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)
	spare, err := os.Open("/dev/null")
	if err != nil {
		t.Fatal(err)
	}
	shortages := 0
	l.OnShortage = func() {
		if shortages++; shortages == 3 {
			spare.Close()
		}
	}
	lowest := syscall.Rlimit{Cur: uint64(spare.Fd()) + 1, Max: before.Max} // every descriptor below is in use
	var fill []int
	for {
		fd, err := syscall.Dup(int(spare.Fd()))
		if err != nil || fd > int(spare.Fd()) {
			syscall.Close(fd)
			break
		}
		fill = append(fill, fd)
	}
	defer func() {
		for _, fd := range fill {
			syscall.Close(fd)
		}
	}()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowest); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	if shortages < 3 {
		t.Errorf("%d shortages", shortages)
	}
}

// Guards against memory that the system takes for clients that read nothing: it buffered up to four megabytes for each.
func TestSystemBuffersLittleForClientThatReadsNothing(t *testing.T) {
	const maxBuffered = 512 << 10 // on both sides together, on loopback
	b := openBounded(t, 1)
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	peer, err := dialer.Dial("tcp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c, err := b.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	written := 0
	for err = nil; err == nil && written <= maxBuffered; {
		c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		var n int
		n, err = c.Write(make([]byte, 16<<10))
		written += n
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes written to a client that reads nothing: %v", written, err)
	}
}
