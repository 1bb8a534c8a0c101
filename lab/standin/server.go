// Package standin has stand-ins for the parties that an instance talks to, on loopback sockets: session servers with a
// modelled processor, the service that announces the list of servers, and callers with limited patience and redials. They
// speak the platform's published protocol.
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
	// writeTimeout bounds one write, so that an instance that does not read cannot block the others.
	writeTimeout = time.Second
	// reportInterval is how often the figures of a load report are refreshed.
	reportInterval = 300 * time.Millisecond
	// circuitsPerServer is how many calls a server reports room for, far more than it usually has.
	circuitsPerServer = 1000
)

// Server is one session server. It has one listener per instance, to know which instance a connection belongs to.
type Server struct {
	ID             string
	Cell           int
	Ledger         *check.Ledger
	MeanCallLength time.Duration // mean length of a call

	params     processor.Params
	mu         sync.Mutex
	processor  *processor.Processor
	rng        *rand.Rand
	wake       chan struct{}
	addrs      map[string]string // by instance
	listeners  []net.Listener
	conns      map[string][]*conn // by instance, oldest first
	calls      map[string]*call
	draining   bool
	stopped    bool
	loadReport string
	reportedAt time.Time
}

// conn is a connection with serialized, bounded writes.
type conn struct {
	net.Conn
	mu sync.Mutex
}

// write sends a message, and closes the connection if that fails.
func (c *conn) write(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(b); err != nil {
		c.Close()
	}
}

// call is a set-up in progress, or an established call. hungUp is set once the server has ended the call.
type call struct {
	id, instance        string
	conn                *conn
	echo                []byte
	established, hungUp bool
	timer               *time.Timer
}

// NewServer makes a server that listens for each of the instances. startedAt is when its processor started cold; the zero
// time means long ago, so that it is warm.
func NewServer(id string, cell int, p processor.Params, startedAt time.Time, meanCallLength time.Duration, instances []string, seed uint64, l *check.Ledger) (*Server, error) {
	at := int64(0)
	if !startedAt.IsZero() {
		at = startedAt.UnixNano()
	}
	s := &Server{ID: id, Cell: cell, Ledger: l, MeanCallLength: meanCallLength, params: p, processor: processor.New(p, at), rng: rand.New(rand.NewPCG(seed, 0x736572)),
		wake: make(chan struct{}, 1), addrs: map[string]string{}, conns: map[string][]*conn{}, calls: map[string]*call{}}
	for _, name := range instances {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		s.listeners = append(s.listeners, ln)
		s.addrs[name] = ln.Addr().String()
	}
	return s, nil
}

// Addr is the address at which an instance reaches the server.
func (s *Server) Addr(instance string) string { return s.addrs[instance] }

// Close closes the listeners of a server that was never run.
func (s *Server) Close() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	instanceByAddr := map[string]string{}
	for name, addr := range s.addrs {
		instanceByAddr[addr] = name
	}
	for _, l := range s.listeners {
		g.Go(func() error {
			for {
				c, err := l.Accept()
				if errors.Is(err, net.ErrClosed) {
					return nil
				}
				if err != nil {
					return err
				}
				g.Go(func() error { s.serveConn(&conn{Conn: c}, instanceByAddr[l.Addr().String()]); return nil })
			}
		})
	}
	g.Go(func() error { s.runProcessor(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		s.Stop()
		return nil
	})
	return g.Wait()
}

// Stop acts as if the server's process ended: connections are reset and calls are cut.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, l := range s.listeners {
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

// Crash acts as if the server's process ended and started again at once, cold and at the same addresses: connections are
// reset and calls are cut. Instances see nothing else of it until the list announces the start, whose time is returned.
func (s *Server) Crash() (startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	startedAt = time.Now()
	for _, c := range s.calls {
		if c.timer != nil {
			c.timer.Stop()
		}
		if !c.established {
			s.Ledger.AttemptEnded(c.id, s.ID, true, startedAt)
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
	s.processor = processor.New(s.params, startedAt.UnixNano())
	s.wakeWorker()
	return startedAt
}

// Drain has the server refuse new calls from now on. Established calls go on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetSlowdown makes the processor slower by a factor; 1 is normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleCompleted(s.processor.SetSlowdown(time.Now().UnixNano(), factor))
	s.wakeWorker()
}

// SetSilent stops the processor, or has it come back cold.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleCompleted(s.processor.SetSilent(time.Now().UnixNano(), silent))
	s.wakeWorker()
}

// Stats gives the longest wait expected for any set-up, whether the processor fell over, and the number of set-ups offered
// and refused.
func (s *Server) Stats() (maxWait time.Duration, fellOver bool, offered, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offered, refused = s.processor.Counts()
	return time.Duration(s.processor.MaxWait()), s.processor.FellOver(), offered, refused
}

// ExpectedWait is how long a new set-up would wait now.
func (s *Server) ExpectedWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.processor.ExpectedWait(time.Now().UnixNano()))
}

// wakeWorker has runProcessor compute anew when the next work is due.
func (s *Server) wakeWorker() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runProcessor advances the processor whenever work is due.
func (s *Server) runProcessor(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := time.Now().UnixNano()
		s.handleCompleted(s.processor.Advance(now))
		untilDue := time.Hour
		if due := s.processor.NextDue(); due > 0 {
			untilDue = max(time.Duration(due-time.Now().UnixNano()), 0)
		}
		s.mu.Unlock()
		timer.Reset(untilDue)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
	}
}

// currentReport gives the load report that messages carry, refreshed every reportInterval.
func (s *Server) currentReport() string {
	if time.Since(s.reportedAt) > reportInterval {
		s.reportedAt = time.Now()
		s.loadReport = fmt.Sprintf("x0:%d;x1:%d;util:%.2f;queue:%d", circuitsPerServer-len(s.calls), circuitsPerServer, s.processor.Utilization(), s.processor.QueueLength())
	}
	return s.loadReport
}

// handleCompleted carries on with work that the processor has completed: a set-up goes on to its answer, an answer is sent,
// a release is reported to the instance.
func (s *Server) handleCompleted(finished []processor.Completed) {
	for _, d := range finished {
		c := s.calls[d.Call]
		if c == nil {
			continue
		}
		switch d.Step {
		case processor.SetUp:
			s.handleCompleted(s.processor.Add(d.At, processor.Answer, d.Call))
		case processor.Answer:
			c.established = true
			s.Ledger.AttemptEnded(c.id, s.ID, false, time.Now())
			desc := "log of " + c.id + " at " + s.ID
			b := append(sip.AppendStatus(nil, 200), c.echo...)
			b = sip.AppendHeader(b, "X-State", s.currentReport())
			c.conn.write(sip.AppendBody(b, []byte(desc)))
			length := time.Duration(s.rng.ExpFloat64() * float64(s.MeanCallLength))
			c.timer = time.AfterFunc(length, func() { s.hangUp(c) })
		case processor.Release:
			delete(s.calls, c.id)
			s.sendRelease(c)
		}
	}
}

// hangUp starts the release of a call from the server's side.
func (s *Server) hangUp(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || c.hungUp {
		return
	}
	c.hungUp = true
	s.handleCompleted(s.processor.Add(time.Now().UnixNano(), processor.Release, c.id))
	s.wakeWorker()
}

// sendRelease sends a release on the connection of the call's set-up, or else on the newest one of that instance.
func (s *Server) sendRelease(c *call) {
	b := sip.AppendRequest(nil, "BYE", c.id)
	b = sip.AppendHeader(b, "Call-ID", c.id)
	b = sip.AppendHeader(b, "CSeq", "9 BYE")
	b = sip.AppendHeader(b, "Reason", "Q.850;cause=16")
	b = sip.AppendBody(sip.AppendHeader(b, "X-State", s.currentReport()), nil)
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

// serveConn handles a connection of an instance until it ends. Set-ups that are open on it then are given up.
func (s *Server) serveConn(c *conn, instance string) {
	defer c.Close()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.conns[instance] = append(s.conns[instance], c)
	c.write([]byte("NOTIFY sip:x@net SIP/2.0\r\nX-State: " + s.currentReport() + "\r\nContent-Length: 0\r\n\r\n"))
	s.mu.Unlock()
	r := sip.NewReader(c)
	for {
		m, err := r.Next()
		if err != nil {
			break
		}
		s.mu.Lock()
		if !s.stopped {
			s.handleMessage(c, instance, m)
			s.wakeWorker()
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.conns[instance]
	for k, o := range open {
		if o == c {
			s.conns[instance] = append(open[:k:k], open[k+1:]...)
		}
	}
	for _, o := range s.calls {
		if o.conn == c && !o.established {
			s.abandon(o)
		}
	}
}

// abandon gives up a set-up.
func (s *Server) abandon(c *call) {
	delete(s.calls, c.id)
	s.Ledger.AttemptEnded(c.id, s.ID, true, time.Now())
	s.handleCompleted(s.processor.Drop(time.Now().UnixNano(), c.id))
}

// handleMessage handles one message of an instance.
func (s *Server) handleMessage(c *conn, instance string, m *sip.Message) {
	id := string(m.Get("Call-ID"))
	now := time.Now()
	switch string(m.Method) {
	case "INVITE":
		s.Ledger.AttemptSent(id, instance, s.ID, now)
		if s.draining {
			s.Ledger.AttemptEnded(id, s.ID, false, now)
			c.write(sip.Response(m, 480))
			return
		}
		newCall := &call{id: id, instance: instance, conn: c, echo: sip.EchoHeaders(m)}
		s.calls[id] = newCall
		taken, wait, done := s.processor.Offer(now.UnixNano(), id)
		s.handleCompleted(done)
		if taken {
			return
		}
		delete(s.calls, id)
		s.Ledger.AttemptEnded(id, s.ID, false, now)
		b := append(sip.AppendStatus(nil, 503), newCall.echo...)
		b = sip.AppendHeader(b, "X-Note", "cpu_full")
		b = sip.AppendHeader(b, "X-Delay", fmt.Sprint(min(wait, int64(10*time.Second))/1e6))
		c.write(sip.AppendBody(sip.AppendHeader(b, "X-State", s.currentReport()), nil))
	case "CANCEL":
		if o := s.calls[id]; o != nil && !o.established {
			s.abandon(o)
		}
	case "BYE":
		if o := s.calls[id]; o != nil {
			if o.timer != nil {
				o.timer.Stop()
			}
			delete(s.calls, id)
			s.handleCompleted(s.processor.Add(now.UnixNano(), processor.Release, id))
		}
		c.write(sip.Response(m, 200))
	case "OPTIONS":
		c.write(sip.Response(m, 200))
	}
}
