package listener

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Connections in the kernel's queue were reset when the listener was closed, although their callers were connected and
// had sent their requests. A drain accepts each of them before it closes the listener.
func TestDrainGivesWhatTheKernelHasTakenIn(t *testing.T) {
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const callers = 20
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "request"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	l.Drain()
	got := 0
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 7)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "request" {
			t.Errorf("read %q, %v", b, err)
		}
		io.WriteString(c, "answer")
		c.Close()
		got++
	}
	if got != callers {
		t.Errorf("accepted %d of %d connections", got, callers)
	}
	for _, c := range conns {
		if b, err := io.ReadAll(c); string(b) != "answer" || err != nil {
			t.Errorf("answer %q, %v", b, err)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a drained listener still accepts connections")
	}
}

// A pending Accept returns as soon as a drain starts.
func TestDrainWakesAccept(t *testing.T) {
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	l.Drain()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: %v", err)
	}
}

// Two processes can share an address during an upgrade. If sharing is not requested, an address in use is an error.
func TestSharedAddress(t *testing.T) {
	first, err := Open("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if l, err := Open(first.Addr().String(), false); err == nil {
		l.Close()
		t.Error("opened an address in use without sharing")
	}
	second, err := Open(first.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	first.Drain()
	if _, err := first.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: %v", err)
	}
	c, err := net.Dial("tcp", first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := second.Accept(); err != nil {
		t.Error(err)
	} else {
		got.Close()
	}
}
