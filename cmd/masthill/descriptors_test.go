package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"masthill/control"
	"masthill/internal/descriptors"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/netcase"
	"masthill/internal/office"
	"masthill/internal/sip"
)

// fewDescriptors is the limit of descriptors in these tests, the lowest that the platform sets.
const fewDescriptors = 96

// maxDelay bounds what takes under 1 s on an idle machine; the measured times are logged.
const maxDelay = 5 * time.Second

// fakeDiscovery is a fake journal service that is down at first, in one of three ways, and then serves.
type fakeDiscovery struct {
	t         *testing.T
	addr      string
	listener  net.Listener // nil: connections are refused
	event     string       // sent once it serves
	connected chan time.Time
}

// refusingDiscovery refuses connections while it is down.
func refusingDiscovery(t *testing.T) *fakeDiscovery { return &fakeDiscovery{t: t, addr: freeAddr(t)} }

// hangingDiscovery does not accept connections while it is down: the accept queue of its socket is full.
func hangingDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "discovery")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	for { // until a connection attempt hangs
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { c.Close() })
	}
	return &fakeDiscovery{t: t, addr: l.Addr().String(), listener: l}
}

// silentDiscovery accepts connections and sends nothing while it is down.
func silentDiscovery(t *testing.T) *fakeDiscovery {
	return &fakeDiscovery{t: t, addr: "", listener: netcase.Listen(t)}
}

// startServing has the service answer from now on.
func (d *fakeDiscovery) startServing() {
	d.t.Helper()
	d.connected = make(chan time.Time, 100)
	if d.listener == nil {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			d.t.Fatal(err)
		}
		d.listener = l
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.connected <- time.Now()
		fmt.Fprintf(w, "id: 2\ndata: %s\n\n", d.event)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go server.Serve(d.listener)
	d.t.Cleanup(func() { server.Close() })
}

// idleClients hold as many idle connections as they can get.
type idleClients struct {
	t     *testing.T
	mu    sync.Mutex
	conns []net.Conn
}

// idleOpenings are what idle clients write after they connect: nothing, a part of a request, or a request that needs no
// call.
var idleOpenings = []string{"", "INVITE sip:17@net SI", optionsRequest, "GET /v1/calls HTTP/1.1\r\nHost: x\r\n", "GET /healthc"}

// connect opens n connections and keeps them open.
func (c *idleClients) connect(addr string, n int) {
	for k := range n {
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			continue // the accept queue is full: the server holds all it can
		}
		io.WriteString(conn, idleOpenings[k%len(idleOpenings)])
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
	}
}

func (c *idleClients) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// keepConnecting has several clients connect at the same time until it is stopped, so that each freed place is taken at
// once.
func (c *idleClients) keepConnecting(addrs ...string) (stop func()) {
	var over atomic.Bool
	var all sync.WaitGroup
	for _, addr := range addrs {
		for range 4 {
			all.Go(func() {
				for !over.Load() {
					c.connect(addr, 10)
					time.Sleep(20 * time.Millisecond) // some thousands a second, so that the machine does not run out of ports
					c.mu.Lock()
					if len(c.conns) > 3000 {
						for _, old := range c.conns[:1000] {
							old.Close()
						}
						c.conns = append([]net.Conn(nil), c.conns[1000:]...)
					}
					c.mu.Unlock()
				}
			})
		}
	}
	return func() { over.Store(true); all.Wait(); c.closeAll() }
}

// openDescriptors counts the program's open descriptors.
func (p *program) openDescriptors() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		return 0
	}
	return len(names)
}

// waitForDescriptors waits until the program holds n descriptors, which shows that the idle clients have connected.
func (p *program) waitForDescriptors(n int) {
	p.t.Helper()
	for began := time.Now(); p.openDescriptors() < n; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			p.t.Fatalf("%d descriptors held after 10 s, want %d", p.openDescriptors(), n)
		}
	}
}

// limit sets the program's descriptor limit from outside.
func (p *program) limit(n uint64) {
	p.t.Helper()
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		p.t.Fatal(err)
	}
}

// logged tells whether the program's log contains a text.
func (p *program) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), text)
}

// fakeServer is a server that records when it accepts connections, and can close those that it holds.
type fakeServer struct {
	addr     string
	accepted chan time.Time
	mu       sync.Mutex
	conns    []net.Conn
}

func newFakeServer(t *testing.T) *fakeServer {
	s := &fakeServer{accepted: make(chan time.Time, 1000)}
	s.addr = netcase.ServeConns(t, func(c net.Conn) {
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.accepted <- time.Now()
		io.Copy(io.Discard, c)
	})
	return s
}

// closeConnections closes all connections, as a restart does.
func (s *fakeServer) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// waitForConnection waits for the next connection and returns how long after since it was accepted.
func waitForConnection(t *testing.T, what string, came <-chan time.Time, since time.Time) time.Duration {
	t.Helper()
	for {
		select {
		case at := <-came:
			if at.After(since) {
				return at.Sub(since)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%s: not within 10 s", what)
			return 10 * time.Second
		}
	}
}

// While discovery is down, idle clients take all places at both fronts and silent ones those of the operators' address.
// The health check still answers, and a server whose connection was closed is connected again. When discovery is back,
// its list is followed at once: a new server on it is connected. The program never runs out of descriptors.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	for name, down := range map[string]func(*testing.T) *fakeDiscovery{"refuses": refusingDiscovery, "hangs": hangingDiscovery, "silent": silentDiscovery} {
		t.Run(name, func(t *testing.T) {
			old, late := newFakeServer(t), newFakeServer(t)
			d := down(t)
			if d.addr == "" {
				d.addr = d.listener.Addr().String()
			}
			d.event = fmt.Sprintf(`{"pos":2,"hosts":{"version":2,"full":false,"servers":[{"id":"s-0000000b","addr":"%s","cell":0,"state":"SERVING","weight":1}]}}`, late.addr)
			admin := freeAddr(t)
			p := startWith(t, strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q,"admin":%q`, freeAddr(t), admin),
				`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, fewDescriptors)).Replace(configuration(d.addr, []string{old.addr})), callWSSettings)
			p.limit(fewDescriptors)
			waitForHealth(t, admin, 200)
			own := descriptors.Plan(descriptors.Demand{Limit: fewDescriptors, Operators: true, WebSocket: true})
			if heldWithoutClients := p.openDescriptors(); heldWithoutClients > own.Runtime+own.Discovery+1 { // one connection to a server
				t.Errorf("%d held without clients, %d planned for", heldWithoutClients, own.Runtime+own.Discovery+1)
			}
			c := &idleClients{t: t}
			c.connect(p.sip, 500)
			c.connect(p.callws, 200)
			end := c.keepConnecting(p.sip, p.callws)
			defer end()
			silent := &idleClients{t: t}
			defer silent.closeAll()
			most := 0
			var healthCheckDelay, reconnectDelay time.Duration
			for range 4 {
				p.waitForDescriptors(fewDescriptors / 2)
				silent.connect(admin, 20)
				asked := time.Now()
				if got := adminRequest(t, admin, "GET", "/healthcheck"); got != 200 {
					t.Errorf("health check: %d", got)
				}
				healthCheckDelay = max(healthCheckDelay, time.Since(asked))
				ended := time.Now()
				old.closeConnections()
				reconnectDelay = max(reconnectDelay, waitForConnection(t, "a server's connection", old.accepted, ended))
				most = max(most, p.openDescriptors())
			}
			back := time.Now()
			d.startServing()
			discoveryDelay := waitForConnection(t, "discovery", d.connected, back)
			newServerDelay := waitForConnection(t, "a new server", late.accepted, back)
			t.Logf("health check %v, server connected again %v, discovery followed %v, its new server connected %v, descriptors %d", healthCheckDelay, reconnectDelay, discoveryDelay, newServerDelay, most)
			if healthCheckDelay > maxDelay || reconnectDelay > maxDelay || discoveryDelay > maxDelay || newServerDelay > maxDelay {
				t.Error("slower than maxDelay")
			}
			if p.logged("too many open files") || most > fewDescriptors {
				t.Errorf("out of descriptors, or beyond the limit: %d held", most)
			}
		})
	}
}

// After the limit is lowered from outside, idle clients are evicted to free descriptors, and connecting to servers and
// accepting go on as soon as one is free.
func TestALimitLoweredFromOutside(t *testing.T) {
	server := newFakeServer(t)
	p, admin := startWithAdmin(t, newJournal(t), []string{server.addr}, freeAddr(t), 1024)
	waitForHealth(t, admin, 200)
	c := &idleClients{t: t}
	c.connect(p.sip, 600)
	defer c.keepConnecting(p.sip)()
	p.limit(fewDescriptors)
	for range 3 {
		ended := time.Now()
		server.closeConnections()
		waitForConnection(t, "a server's connection", server.accepted, ended)
		if got := adminRequest(t, admin, "GET", "/healthcheck"); got != 200 {
			t.Errorf("health check: %d", got)
		}
	}
	if !p.logged("limited from outside") {
		t.Error("the lowered limit was not noticed")
	}
}

// The two processes of an upgrade together hold no more descriptors than the limit while idle clients connect to both.
func TestAnUpgradeSharesTheDescriptors(t *testing.T) {
	server := newFakeServer(t)
	list, listen := newJournal(t), freeAddr(t)
	const limit = 192
	first, admin := startWithAdmin(t, list, []string{server.addr}, listen, limit)
	waitForHealth(t, admin, 200)
	c := &idleClients{t: t}
	c.connect(listen, 500)
	defer c.keepConnecting(listen)()
	first.waitForDescriptors(limit/2 + 1)
	alone := first.openDescriptors()
	second, admin := startWithAdmin(t, list, []string{server.addr}, listen, limit)
	waitForHealth(t, admin, 200)
	most := 0
	for range 50 {
		most = max(most, first.openDescriptors()+second.openDescriptors())
		time.Sleep(20 * time.Millisecond)
	}
	first.stop()
	second.waitForDescriptors(limit/2 + 1)
	t.Logf("%d alone, %d together, %d alone again", alone, most, second.openDescriptors())
	if most > limit || alone <= limit/2 {
		t.Errorf("%d alone, %d together, of %d", alone, most, limit)
	}
}

// silentPeer is a connection to a server that sends nothing.
type silentPeer struct{ office.Peer }

func (silentPeer) Run(ctx context.Context, _ office.Handler) (sip.Reason, error) {
	<-ctx.Done()
	return sip.Closed, nil
}

// With more servers than descriptors, connections beyond the servers' share fail at once with ErrShareExhausted and the
// clients keep a third. When a connection ends, another one can be made.
func TestMoreServersThanDescriptors(t *testing.T) {
	a := newAllocation(descriptors.Demand{Limit: fewDescriptors}, 1000, netcase.DiscardLogger())
	var servers []exchange.Office
	for k := range 200 {
		servers = append(servers, exchange.Office{Entry: control.Entry{Server: uint64(k), State: control.Serving}})
	}
	a.onServerList(servers, true)
	if f := a.clientsShare(); f.Descriptors < fewDescriptors/3 {
		t.Errorf("clients have %+v", f)
	}
	dial := a.dial(func(context.Context, string) (office.Peer, error) { return silentPeer{}, nil })
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	up := 0
	for range servers {
		peer, err := dial(t.Context(), "server:1")
		if errors.Is(err, descriptors.ErrShareExhausted) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		up++
		all.Go(func() { peer.Run(ctx, nil) })
	}
	if up != a.budget.Servers || up < 32 {
		t.Errorf("%d connections, a share of %d", up, a.budget.Servers)
	}
	cancel()
	all.Wait()
	if _, err := dial(t.Context(), "server:1"); err != nil {
		t.Errorf("after the others ended: %v", err)
	}
	if _, err := a.dial(func(context.Context, string) (office.Peer, error) { return nil, syscall.ECONNREFUSED })(t.Context(), ""); err == nil || a.servers.Held() != 1 {
		t.Errorf("a failed connection keeps its descriptor: %d held", a.servers.Held())
	}
	a.onServerList(nil, true)
	if a.budget.Servers >= up {
		t.Errorf("without servers their share is %d", a.budget.Servers)
	}
}

// The shares cover the most descriptors that their users hold.
func TestSharesFitTheParts(t *testing.T) {
	b := descriptors.Plan(descriptors.Demand{Limit: fewDescriptors})
	if most := journal.MaxConnects + 1; b.Discovery < most {
		t.Errorf("discovery holds up to %d, and its share is %d", most, b.Discovery)
	}
}
