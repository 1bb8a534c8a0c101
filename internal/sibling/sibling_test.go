package sibling

import (
	"context"
	"net"
	"testing"

	"masthill/internal/netcase"
)

// process is one watch in a test.
type process struct {
	present chan bool
	end     func()
}

func begin(t *testing.T, addr string) *process {
	t.Helper()
	p := &process{present: make(chan bool, 100)}
	w := Open(addr, netcase.Quiet(), func(present bool) { p.present <- present })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	p.end = func() {
		w.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return p
}

// want waits for the present answer to be that one.
func (p *process) want(t *testing.T, present bool) {
	t.Helper()
	for got := range p.present {
		if got == present {
			return
		}
	}
}

// An upgrade, and one more: each process notices that the other one comes and goes, whichever of them was first.
func TestEachNoticesTheOther(t *testing.T) {
	addr := netcase.Listen(t).Addr().String()
	first := begin(t, addr)
	if <-first.present {
		t.Error("not alone at first")
	}
	second := begin(t, addr)
	if !<-second.present {
		t.Error("the second does not notice the first")
	}
	first.want(t, true)
	first.end()
	second.want(t, false)
	third := begin(t, addr)
	third.want(t, true)
	second.want(t, true)
	third.end()
	second.want(t, false)
	second.end()
}

// Another address is another instance.
func TestAnotherAddress(t *testing.T) {
	first := begin(t, netcase.Listen(t).Addr().String())
	defer first.end()
	second := begin(t, netcase.Listen(t).Addr().String())
	defer second.end()
	if <-first.present || <-second.present {
		t.Error("taken for one another")
	}
}

// Strangers that connect again and again hold a bounded number of descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	addr := netcase.Listen(t).Addr().String()
	first := begin(t, addr)
	defer first.end()
	<-first.present
	var conns []net.Conn
	for range maxConnections + 3 {
		c, err := net.Dial("unix", namePrefix+addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	first.want(t, true)
	for _, c := range conns[maxConnections:] { // closed by the other side
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("held")
		}
	}
}

// The second process starts only once the first has made room.
func TestTheSecondWaitsForRoom(t *testing.T) {
	addr := netcase.Listen(t).Addr().String()
	room := make(chan bool)
	w := Open(addr, netcase.Quiet(), func(present bool) {
		if present {
			<-room
		}
	})
	defer w.Close()
	go w.Run(t.Context())
	opened := make(chan bool)
	go func() {
		second := Open(addr, netcase.Quiet(), func(bool) {})
		defer second.Close()
		close(opened)
	}()
	select {
	case <-opened:
		t.Error("before there is room")
	case room <- true:
	}
	<-opened
}
