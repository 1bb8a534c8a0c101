// Package standin has the parties that an instance talks to, on loopback sockets: session servers with a modelled
// processor, the service that tells the list of servers, and callers with patience, aims and redials. They speak the
// platform's published protocol and are the project's own.
package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/sip"
	"masthill/lab/check"
	"masthill/lab/processor"
)

const (
	// writeFor bounds one write of a stand-in: an instance that does not read must not hold up the others.
	writeFor = time.Second
	// reportEvery is how often a report's figures are refreshed.
	reportEvery = 300 * time.Millisecond
	// circuits is what a server has room for: far more than are usual.
	circuits = 1000
)

// Server is one session server. It listens once for each instance, as its connections are told apart by that.
type Server struct {
	ID             string
	Cell           int
	Ledger         *check.Ledger
	MeanCallLength time.Duration // mean of a call's length

	params  processor.Params
	mu      sync.Mutex
	proc    *processor.Processor
	rng     *rand.Rand
	wake    chan struct{}
	addrs   map[string]string // by instance
	ls      []net.Listener
	conns   map[string][]*conn // by instance, oldest first
	calls   map[string]*call
	drains  bool
	gone    bool
	report  string
	reportA time.Time
}

type conn struct {
	net.Conn
	mu sync.Mutex
}

func (c *conn) write(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := c.Write(b); err != nil {
		c.Close()
	}
}

// call is a set-up in the line, or a call that stands.
type call struct {
	id, instance string
	conn         *conn
	echo         []byte
	stands, over bool
	timer        *time.Timer
}

// NewServer makes a server that listens for each of the instances. started is its processor's start, for a cold one;
// the zero time: long ago.
func NewServer(id string, cell int, p processor.Params, started time.Time, hold time.Duration, instances []string, seed uint64, l *check.Ledger) (*Server, error) {
	at := int64(0)
	if !started.IsZero() {
		at = started.UnixNano()
	}
	s := &Server{ID: id, Cell: cell, Ledger: l, MeanCallLength: hold, params: p, proc: processor.New(p, at), rng: rand.New(rand.NewPCG(seed, 0x736572)),
		wake: make(chan struct{}, 1), addrs: map[string]string{}, conns: map[string][]*conn{}, calls: map[string]*call{}}
	for _, name := range instances {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		s.ls = append(s.ls, ln)
		s.addrs[name] = ln.Addr().String()
	}
	return s, nil
}

// Addr is where an instance reaches the server.
func (s *Server) Addr(instance string) string { return s.addrs[instance] }

// Close lets go of the listeners of a server that was never run.
func (s *Server) Close() {
	for _, l := range s.ls {
		l.Close()
	}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	byAddr := map[string]string{}
	for name, addr := range s.addrs {
		byAddr[addr] = name
	}
	for _, l := range s.ls {
		g.Go(func() error {
			for {
				c, err := l.Accept()
				if errors.Is(err, net.ErrClosed) {
					return nil
				}
				if err != nil {
					return err
				}
				g.Go(func() error { s.serve(&conn{Conn: c}, byAddr[l.Addr().String()]); return nil })
			}
		})
	}
	g.Go(func() error { s.work(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		s.Stop()
		return nil
	})
	return g.Wait()
}

// Stop ends the server's process: connections are reset and calls cut.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	for _, l := range s.ls {
		l.Close()
	}
	for _, of := range s.conns {
		for _, c := range of {
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Conn.Close()
		}
	}
	for _, c := range s.calls {
		if c.timer != nil {
			c.timer.Stop()
		}
	}
	s.calls = map[string]*call{}
}

// Crash ends the server's process and starts it again at once, cold and at the same addresses: connections are reset
// and calls cut, and nothing but that tells of it until the list does. It gives the time of the new start.
func (s *Server) Crash() (started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started = time.Now()
	for _, c := range s.calls {
		if c.timer != nil {
			c.timer.Stop()
		}
		if !c.stands {
			s.Ledger.AttemptEnded(c.id, s.ID, true, started)
		}
	}
	s.calls = map[string]*call{}
	for _, of := range s.conns {
		for _, c := range of {
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Conn.Close()
		}
	}
	s.proc = processor.New(s.params, started.UnixNano())
	s.kick()
	return started
}

// Drain tells a server that it takes nothing new; what stands goes on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = true
}

// Slow makes the processor so many times slower; Silence has it say nothing.
func (s *Server) SetSlowdown(times float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done(s.proc.SetSlowdown(time.Now().UnixNano(), times))
	s.kick()
}

// Silence has the processor stop, or come back cold.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done(s.proc.SetSilent(time.Now().UnixNano(), on))
	s.kick()
}

// Look gives the processor's figures: the longest wait that a set-up found, whether it fell over, and what came.
func (s *Server) Stats() (worst time.Duration, fallen bool, came, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	came, refused = s.proc.Counts()
	return time.Duration(s.proc.MaxWait()), s.proc.FellOver(), came, refused
}

// Wait is what a new set-up would wait now.
func (s *Server) ExpectedWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.proc.ExpectedWait(time.Now().UnixNano()))
}

func (s *Server) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// work finishes what the processor has done, when it is due.
func (s *Server) work(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := time.Now().UnixNano()
		s.done(s.proc.Advance(now))
		rest := time.Hour
		if due := s.proc.NextDue(); due > 0 {
			rest = max(time.Duration(due-time.Now().UnixNano()), 0)
		}
		s.mu.Unlock()
		timer.Reset(rest)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
	}
}

// state is the report that answers carry, refreshed now and then.
func (s *Server) state() string {
	if time.Since(s.reportA) > reportEvery {
		s.reportA = time.Now()
		s.report = fmt.Sprintf("x0:%d;x1:%d;util:%.2f;queue:%d", circuits-len(s.calls), circuits, s.proc.Utilization(), s.proc.QueueLength())
	}
	return s.report
}

// done takes finished work: a set-up goes on to its answer, an answer is written, a release is told.
func (s *Server) done(finished []processor.Completed) {
	for _, d := range finished {
		c := s.calls[d.Call]
		if c == nil {
			continue
		}
		switch d.Step {
		case processor.SetUp:
			s.done(s.proc.Add(d.At, processor.Answer, d.Call))
		case processor.Answer:
			c.stands = true
			s.Ledger.AttemptEnded(c.id, s.ID, false, time.Now())
			desc := "log of " + c.id + " at " + s.ID
			b := append(sip.AppendStatus(nil, 200), c.echo...)
			b = sip.AppendHeader(b, "X-State", s.state())
			c.conn.write(sip.AppendBody(b, []byte(desc)))
			length := time.Duration(s.rng.ExpFloat64() * float64(s.MeanCallLength))
			c.timer = time.AfterFunc(length, func() { s.hangUp(c) })
		case processor.Release:
			delete(s.calls, c.id)
			s.tellRelease(c)
		}
	}
}

// hangUp ends a call from the server's side.
func (s *Server) hangUp(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone || c.over {
		return
	}
	c.over = true
	s.done(s.proc.Add(time.Now().UnixNano(), processor.Release, c.id))
	s.kick()
}

// tellRelease writes a release on the connection of its set-up, or on any open one of that instance.
func (s *Server) tellRelease(c *call) {
	b := sip.AppendRequest(nil, "BYE", c.id)
	b = sip.AppendHeader(b, "Call-ID", c.id)
	b = sip.AppendHeader(b, "CSeq", "9 BYE")
	b = sip.AppendHeader(b, "Reason", "Q.850;cause=16")
	b = sip.AppendBody(sip.AppendHeader(b, "X-State", s.state()), nil)
	open := s.conns[c.instance]
	for _, o := range open {
		if o == c.conn {
			o.write(b)
			return
		}
	}
	if len(open) > 0 {
		open[len(open)-1].write(b)
	}
}

func (s *Server) serve(c *conn, instance string) {
	defer c.Close()
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.conns[instance] = append(s.conns[instance], c)
	c.write([]byte("NOTIFY sip:x@net SIP/2.0\r\nX-State: " + s.state() + "\r\nContent-Length: 0\r\n\r\n"))
	s.mu.Unlock()
	r := sip.NewReader(c)
	for {
		m, err := r.Next()
		if err != nil {
			break
		}
		s.mu.Lock()
		if !s.gone {
			s.take(c, instance, m)
			s.kick()
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.conns[instance]
	for k, o := range of {
		if o == c {
			s.conns[instance] = append(of[:k:k], of[k+1:]...)
		}
	}
	for _, o := range s.calls { // set-ups open on a connection that closes are given up
		if o.conn == c && !o.stands {
			s.drop(o)
		}
	}
}

func (s *Server) drop(c *call) {
	delete(s.calls, c.id)
	s.Ledger.AttemptEnded(c.id, s.ID, true, time.Now())
	s.done(s.proc.Drop(time.Now().UnixNano(), c.id))
}

func (s *Server) take(c *conn, instance string, m *sip.Message) {
	id := string(m.Get("Call-ID"))
	now := time.Now()
	switch string(m.Method) {
	case "INVITE":
		s.Ledger.AttemptSent(id, instance, s.ID, now)
		if s.drains {
			s.Ledger.AttemptEnded(id, s.ID, false, now)
			c.write(sip.Response(m, 480))
			return
		}
		one := &call{id: id, instance: instance, conn: c, echo: sip.EchoHeaders(m)}
		s.calls[id] = one
		taken, wait, done := s.proc.Offer(now.UnixNano(), id)
		s.done(done)
		if taken {
			return
		}
		delete(s.calls, id)
		s.Ledger.AttemptEnded(id, s.ID, false, now)
		b := append(sip.AppendStatus(nil, 503), one.echo...)
		b = sip.AppendHeader(b, "X-Note", "cpu_full")
		b = sip.AppendHeader(b, "X-Delay", fmt.Sprint(min(wait, int64(10*time.Second))/1e6))
		c.write(sip.AppendBody(sip.AppendHeader(b, "X-State", s.state()), nil))
	case "CANCEL":
		if o := s.calls[id]; o != nil && !o.stands {
			s.drop(o)
		}
	case "BYE":
		if o := s.calls[id]; o != nil {
			if o.timer != nil {
				o.timer.Stop()
			}
			delete(s.calls, id)
			s.done(s.proc.Add(now.UnixNano(), processor.Release, id))
		}
		c.write(sip.Response(m, 200))
	case "OPTIONS":
		c.write(sip.Response(m, 200))
	}
}
