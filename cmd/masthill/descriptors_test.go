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

// fewDescriptors is the limit of the tests here: the lowest that the platform sets.
const fewDescriptors = 96

// busy is the bound of what takes under 1 s on a machine with time to spare; the figures are logged.
const busy = 5 * time.Second

// discovery is a stand-in for the list's service that is down at first, in one of three ways, and comes back.
type discovery struct {
	t         *testing.T
	addr      string
	listener  net.Listener // nil: connects are refused
	event     string       // told once it is back
	connected chan time.Time
}

// refusingDiscovery refuses connects while it is down.
func refusingDiscovery(t *testing.T) *discovery { return &discovery{t: t, addr: free(t)} }

// hangingDiscovery takes no connects while it is down: the queue of its socket is full.
func hangingDiscovery(t *testing.T) *discovery {
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
	t.Cleanup(func() { l.Close() }) // and kept until then
	for {                           // until a connect hangs
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { c.Close() })
	}
	return &discovery{t: t, addr: l.Addr().String(), listener: l}
}

// silentDiscovery takes connects and says nothing while it is down.
func silentDiscovery(t *testing.T) *discovery {
	return &discovery{t: t, addr: "", listener: netcase.Listen(t)}
}

// comesBack serves from now on.
func (d *discovery) comesBack() {
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

// crowd is idle clients that take all they can get.
type crowd struct {
	t     *testing.T
	mu    sync.Mutex
	conns []net.Conn
}

// idle are the ways in which clients hold a connection and ask for nothing; each is written after the connect.
var idle = []string{"", "INVITE sip:17@net SI", options, "GET /v1/calls HTTP/1.1\r\nHost: x\r\n", "GET /healthc"}

// join connects that many, and leaves them open.
func (c *crowd) join(addr string, n int) {
	for k := range n {
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			continue // the queue of its socket is full: it has all it can hold
		}
		io.WriteString(conn, idle[k%len(idle)])
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
	}
}

func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// press has clients come until the end, several at once, so that whatever is freed is taken at once.
func (c *crowd) press(addrs ...string) (end func()) {
	var over atomic.Bool
	var all sync.WaitGroup
	for _, addr := range addrs {
		for range 4 {
			all.Go(func() {
				for !over.Load() {
					c.join(addr, 10)
					time.Sleep(20 * time.Millisecond) // some thousands a second, within the machine's ports
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
	return func() { over.Store(true); all.Wait(); c.leave() }
}

// held counts the descriptors of a program.
func (p *program) held() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		return 0
	}
	return len(names)
}

// holds waits until the program holds that many descriptors: the crowd has come.
func (p *program) holds(n int) {
	p.t.Helper()
	for began := time.Now(); p.held() < n; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			p.t.Fatalf("%d descriptors held, never %d", p.held(), n)
		}
	}
}

// limit sets the program's limit of descriptors from outside.
func (p *program) limit(n uint64) {
	p.t.Helper()
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		p.t.Fatal(err)
	}
}

// logged tells whether the program's log holds a text.
func (p *program) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), text)
}

// connectsTo is a server that notes when connections to it come, and ends those there are when asked.
type connectsTo struct {
	addr  string
	came  chan time.Time
	mu    sync.Mutex
	conns []net.Conn
}

func newServer(t *testing.T) *connectsTo {
	s := &connectsTo{came: make(chan time.Time, 1000)}
	s.addr = netcase.ServeConns(t, func(c net.Conn) {
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.came <- time.Now()
		io.Copy(io.Discard, c)
	})
	return s
}

// restart ends all connections.
func (s *connectsTo) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// after waits for the next connection and tells how long it took.
func after(t *testing.T, what string, came <-chan time.Time, since time.Time) time.Duration {
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

// Idle clients fill all that they can while discovery is down, silent callers the operators' address. The health check
// answers, a server whose connection ended is connected again, and discovery is followed at once when it is
// back: a server that it names gets its connection. No descriptor is lacking at any time.
func TestIdleClientsLeaveTheOthersTheirDescriptors(t *testing.T) {
	for name, down := range map[string]func(*testing.T) *discovery{"refuses": refusingDiscovery, "hangs": hangingDiscovery, "silent": silentDiscovery} {
		t.Run(name, func(t *testing.T) {
			old, late := newServer(t), newServer(t)
			d := down(t)
			if d.addr == "" {
				d.addr = d.listener.Addr().String()
			}
			d.event = fmt.Sprintf(`{"pos":2,"hosts":{"version":2,"full":false,"servers":[{"id":"s-0000000b","addr":"%s","cell":0,"state":"SERVING","weight":1}]}}`, late.addr)
			admin := free(t)
			p := startWith(t, strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q,"admin":%q`, free(t), admin),
				`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, fewDescriptors)).Replace(configuration(d.addr, []string{old.addr})), callwsOn)
			p.limit(fewDescriptors)
			until(t, admin, 200)
			own := descriptors.Plan(descriptors.Demand{Limit: fewDescriptors, Operators: true, WebSocket: true})
			if without := p.held(); without > own.Runtime+own.Discovery+1 { // one connection to a server
				t.Errorf("%d held without clients, %d planned for", without, own.Runtime+own.Discovery+1)
			}
			c := &crowd{t: t}
			c.join(p.sip, 500)
			c.join(p.callws, 200)
			end := c.press(p.sip, p.callws)
			defer end()
			silent := &crowd{t: t}
			defer silent.leave()
			most := 0
			var slowest, reconnect time.Duration
			for range 4 {
				p.holds(fewDescriptors / 2)
				silent.join(admin, 20)
				asked := time.Now()
				if got := ask(t, admin, "GET", "/healthcheck"); got != 200 {
					t.Errorf("health check: %d", got)
				}
				slowest = max(slowest, time.Since(asked))
				ended := time.Now()
				old.restart()
				reconnect = max(reconnect, after(t, "a server's connection", old.came, ended))
				most = max(most, p.held())
			}
			back := time.Now()
			d.comesBack()
			followed := after(t, "discovery", d.connected, back)
			told := after(t, "a new server", late.came, back)
			t.Logf("health check %v, server connected again %v, discovery followed %v, its new server connected %v, descriptors %d", slowest, reconnect, followed, told, most)
			if slowest > busy || reconnect > busy || followed > busy || told > busy {
				t.Error("too late")
			}
			if p.logged("too many open files") || most > fewDescriptors {
				t.Errorf("no descriptor left; %d held", most)
			}
		})
	}
}

// A limit that is lowered from outside: connects and accepts go on as soon as a descriptor is free, and idle clients are made
// to free some.
func TestALimitLoweredFromOutside(t *testing.T) {
	server := newServer(t)
	p, admin := operated(t, newJournal(t), []string{server.addr}, free(t), 1024)
	until(t, admin, 200)
	c := &crowd{t: t}
	c.join(p.sip, 600)
	defer c.press(p.sip)()
	p.limit(fewDescriptors)
	for range 3 {
		ended := time.Now()
		server.restart()
		after(t, "a server's connection", server.came, ended)
		if got := ask(t, admin, "GET", "/healthcheck"); got != 200 {
			t.Errorf("health check: %d", got)
		}
	}
	if !p.logged("limited from outside") {
		t.Error("not noticed")
	}
}

// Two processes of an upgrade hold no more than the limit together, with a crowd before both.
func TestAnUpgradeSharesTheDescriptors(t *testing.T) {
	server := newServer(t)
	list, listen := newJournal(t), free(t)
	const limit = 192
	first, admin := operated(t, list, []string{server.addr}, listen, limit)
	until(t, admin, 200)
	c := &crowd{t: t}
	c.join(listen, 500)
	defer c.press(listen)()
	first.holds(limit/2 + 1)
	alone := first.held()
	second, admin := operated(t, list, []string{server.addr}, listen, limit)
	until(t, admin, 200)
	most := 0
	for range 50 {
		most = max(most, first.held()+second.held())
		time.Sleep(20 * time.Millisecond)
	}
	first.stop()
	second.holds(limit/2 + 1)
	t.Logf("%d alone, %d together, %d alone again", alone, most, second.held())
	if most > limit || alone <= limit/2 {
		t.Errorf("%d alone, %d together, of %d", alone, most, limit)
	}
}

// quietPeer is a connection to a server on which nothing is ever heard.
type quietPeer struct{ office.Peer }

func (quietPeer) Run(ctx context.Context, _ office.Handler) (sip.Reason, error) {
	<-ctx.Done()
	return sip.Closed, nil
}

// More servers than there are descriptors: connects beyond the share fail at once with a reason of their own, the clients keep
// a third, and a connection that ends lets the next one come up.
func TestMoreServersThanDescriptors(t *testing.T) {
	a := newAllocation(descriptors.Demand{Limit: fewDescriptors}, 1000, netcase.DiscardLogger())
	var servers []exchange.Office
	for k := range 200 {
		servers = append(servers, exchange.Office{Entry: control.Entry{Server: uint64(k), State: control.Serving}})
	}
	a.list(servers, true)
	if f := a.clientsFront(); f.Descriptors < fewDescriptors/3 {
		t.Errorf("clients have %+v", f)
	}
	dial := a.dial(func(context.Context, string) (office.Peer, error) { return quietPeer{}, nil })
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
		t.Errorf("a connect that failed holds its descriptor: %d", a.servers.Held())
	}
	a.list(nil, true)
	if a.budget.Servers >= up {
		t.Errorf("without servers their share is %d", a.budget.Servers)
	}
}

// The shares suffice for what the parts hold at most.
func TestSharesFitTheParts(t *testing.T) {
	b := descriptors.Plan(descriptors.Demand{Limit: fewDescriptors})
	if most := journal.MaxConnects + 1; b.Discovery < most {
		t.Errorf("discovery holds up to %d, and its share is %d", most, b.Discovery)
	}
}
