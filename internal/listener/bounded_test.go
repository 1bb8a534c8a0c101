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

// bounded opens a bounded listener.
func bounded(t *testing.T, limit int) *Bounded {
	t.Helper()
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	b := NewBounded(l, descriptors.NewLimiter(limit))
	t.Cleanup(func() { b.Close() })
	return b
}

// Nothing is accepted beyond the bound, so no descriptor is taken first and judged afterwards; a close lets the next one in.
func TestNothingIsAcceptedBeyondTheBound(t *testing.T) {
	b := bounded(t, 2)
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
		t.Fatal("beyond the bound")
	case <-time.After(50 * time.Millisecond): // one that is wrong would be there at once
	}
	first.Close()
	first.Close() // twice gives one place back
	third := <-accepted
	select {
	case <-accepted:
		t.Fatal("beyond the bound")
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
	for began := time.Now(); b.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d held at the end", b.Held())
		}
	}
}

// A crowd that goes on connecting, and connects again whenever it is closed, does not keep a drained listener open: a process
// that was told to end went on accepting for minutes.
func TestADrainUnderConnectsEnds(t *testing.T) {
	l, err := Open("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	join := func() {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			defer c.Close()
		}
	}
	join()
	l.Drain()
	began := time.Now()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		join() // so that the queue is never empty
		if time.Since(began) > 10*time.Second {
			t.Fatal("never ends")
		}
	}
}

// Where no descriptor is left, an accept goes on as soon as there is one.
func TestAcceptGoesOnAfterAShortage(t *testing.T) {
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
	lowest := syscall.Rlimit{Cur: uint64(spare.Fd()) + 1, Max: before.Max} // every descriptor below is taken
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
