// Package caller is the server side of the platform's protocol: the listener, the callers' transactions and
// the readiness test.
package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

const (
	// writeFor is the deadline of a write to a caller. An answer that takes longer is not whole in time.
	writeFor = time.Second
	// wholeFor is how long a set-up may take from its first byte to its last: honest clients may need two seconds. One
	// on a connection that has asked for nothing yet is to be whole youngestFor after the accept, as a peer that sends
	// nothing whole is owed its refusal within 3 s of connecting.
	wholeFor, youngestFor = 2500 * time.Millisecond, 2600 * time.Millisecond
	// lingerFor is how long a caller may take to close after this side has: some round trips, and its own pause.
	lingerFor = 300 * time.Millisecond
	// firstFor is how long a new connection may ask for nothing, idleFor one that has no call and asked before:
	// callers close theirs after 4 s, and one that never does must not hold its place. With a set-up open or a
	// call standing it is looked at again every busyFor.
	firstFor, idleFor, busyFor = 2 * time.Second, 6 * time.Second, time.Second
	// youngFor and lateFor order who makes room for a new connection: one that has asked for nothing that long,
	// then one without a call that has not asked that long. The time of a request on its way is well below. Nor does
	// one whose bytes still came partFor ago, as long as others do: it may only be slow.
	youngFor, lateFor, partFor = 250 * time.Millisecond, time.Second, time.Second
	// partingMost is the part of the places, as a divisor, that connections which make room may keep while their peers
	// still read; beyond it they are closed at once.
	partingMost = 8
	// openMost bounds the set-ups open on one connection, lest one caller fill the table for all: at the busiest
	// rates of one instance, all its calls of two seconds.
	openMost = 256
	// echoMost bounds the headers that an answer repeats, as they are kept for it.
	echoMost = 1 << 10
	// headRoom is what a set-up may grow by on its way to an office, where the limit of a message holds too.
	headRoom = 512
	// turnedLogged is how many requests turned down are logged one by one on a connection; its last line has their
	// number. A caller that sends the same again at once must not fill the log.
	turnedLogged = 3
	// drainFor is how long after the begin of a drain a connection that is never without a set-up may bring new ones.
	drainFor = time.Second
	// shutdownStep is how often an orderly end looks whether it is through.
	shutdownStep = 2 * time.Millisecond
	// releaseFor is how long a release waits for a connection to go out on: PROTOCOL has it sent within 8 s.
	releaseFor = 7 * time.Second
	// releasesMost bounds the releases that wait.
	releasesMost = 1024
	// owner marks the calls of this side: any of its connections may end a call (PROTOCOL).
	owner = "sip"
)

// Options is what a Server is made from.
type Options struct {
	Core    exchange.Desk
	Log     *slog.Logger
	Names   exchange.Names
	Ready   func() bool // whether the readiness test passes
	MaxOpen int         // connections held at once
}

// Server takes calls from callers that speak the platform's protocol.
type Server struct {
	Options
	mu       sync.Mutex
	refusing bool      // nothing more is taken
	drainAt  time.Time // from then on connections are closed as they have nothing open; zero: no drain
	conns    map[*conn]bool
	parting  int // of these, those that make room
	txns     map[string]*txn
	late     []release // that found no connection
}

// conn is one caller's connection. What follows its host belongs to the server's lock.
type conn struct {
	*sip.Conn
	server   *Server
	turned   int       // requests turned down; the reader's
	host     string    // of the peer
	open     int       // set-ups without their answer
	standing int       // calls that stand
	asked    bool      // something valid was asked
	used     time.Time // when it last was, or an answer was given; at first, when it was accepted
	gone     bool      // it is ending: nothing more is taken
	spent    bool      // as it was idle; its reader may still find a request that had come
	parts    bool      // it makes room for others
}

func newConn(c net.Conn, s *Server) *conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	cn := &conn{server: s, host: host, used: time.Now()}
	cn.Conn = sip.NewConn(c, sip.Limits{Write: writeFor, Whole: cn.whole, Idle: cn.idle, Farewell: cn.farewell, Linger: lingerFor,
		HalfCloseEnds: true})
	return cn
}

// whole is how long the message that begins now may take.
func (c *conn) whole() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.asked {
		return wholeFor
	}
	return min(wholeFor, youngestFor-time.Since(c.used))
}

// farewell is what a peer that can't be read any further is told last: its set-ups have no other way to their answers.
func (c *conn) farewell(why error) []byte {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.gone = true
	var b []byte
	for _, t := range s.abandon(c) {
		b = sip.AppendBody(append(sip.AppendStatus(b, 503), t.echo...), nil)
	}
	return append(b, sip.Farewell(why)...)
}

// abandon gives up the set-ups that are open on a connection. Called under the lock.
func (s *Server) abandon(c *conn) (all []*txn) {
	for id, t := range s.txns {
		if t.conn == c && !t.stood {
			all = append(all, t)
			s.remove(t)
			s.Core.GiveUp(id, owner, s)
		}
	}
	return all
}

// idle is the limit of a connection's silence.
func (c *conn) idle() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.spent = false
	if c.open > 0 {
		return busyFor
	}
	left := firstFor - time.Since(c.used)
	switch {
	case c.standing > 0:
		left = busyFor
	case c.asked:
		left = idleFor - time.Since(c.used)
	}
	if wait, drains := c.leaves(); drains {
		left = min(left, wait)
	}
	if left <= 0 && !c.gone {
		c.gone, c.spent = true, true
	}
	if c.gone {
		return 0
	}
	return left
}

// stays takes back that the connection is idle, as a request had come before its end. Called by the reader, under the lock.
func (c *conn) stays() {
	if c.spent {
		c.gone, c.spent = false, false
	}
}

// rank orders connections by how soon they make room for others; -1: never, as a set-up is open there. What
// stands goes on without its connection.
func (c *conn) rank() int {
	unused := time.Since(c.used)
	switch {
	case c.open > 0 || c.gone:
		return -1
	case c.slow():
		return 5
	case !c.asked && unused > youngFor:
		return 0
	case c.asked && c.standing == 0 && unused > lateFor:
		return 1
	case !c.asked:
		return 2
	case c.standing == 0:
		return 3
	}
	return 4
}

// outstays tells that a connection has not been without a set-up since the drain began: what it still brings is refused, or
// it would never end.
func (c *conn) outstays() bool {
	left, drains := c.leaves()
	return drains && c.open > 0 && left < -drainFor
}

// slow tells that a request is on its way in pieces.
func (c *conn) slow() bool {
	heard, begun := c.Begun()
	return begun && time.Since(heard) < partFor
}

// last is when the connection was last of use.
func (c *conn) last() time.Time {
	if heard, begun := c.Begun(); begun && heard.After(c.used) {
		return heard
	}
	return c.used
}

// room closes the connection that can best be spared, where all places are taken: callers that connect and say
// nothing must not keep others out. Called under the lock.
func (s *Server) room() bool {
	spare := s.spare()
	if spare == nil {
		return false
	}
	spare.gone, spare.parts = true, true
	if s.parting++; s.parting > max(s.MaxOpen/partingMost, 1) {
		spare.Abort(sip.Evicted)
	} else {
		spare.End(sip.Evicted)
	}
	return true
}

// spare finds the connection that makes room next, or nil. Called under the lock.
func (s *Server) spare() (spare *conn) {
	least := 0
	for c := range s.conns {
		if r := c.rank(); r >= 0 && (spare == nil || r < least || r == least && c.last().Before(spare.last())) {
			spare, least = c, r
		}
	}
	return spare
}

// txn is one set-up of a caller, until it has its refusal or its call is over.
type txn struct {
	*conn
	id, number string
	sum        uint64 // of the set-up
	echo       []byte // headers for the answer
	seq        uint64
	stood      bool
}

type release struct {
	host  string // of its caller; empty: not known
	msg   []byte
	until time.Time
}

// New makes a server.
func New(o Options) *Server {
	return &Server{Options: o, conns: map[*conn]bool{}, txns: map[string]*txn{}}
}

// Drain closes connections as soon as no set-up is open on them, beginning after that time. What still comes is served.
func (s *Server) Drain(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAt = time.Now().Add(after)
	for c := range s.conns {
		c.Wake()
	}
}

// SetMaxOpen changes how many connections are held at once. Of those beyond, the ones that can best be spared make room.
func (s *Server) SetMaxOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxOpen = n
	for len(s.conns)-s.parting > n {
		spare := s.spare()
		if spare == nil {
			return
		}
		spare.gone, spare.parts = true, true
		s.parting++
		spare.End(sip.Evicted) // all at once: an abort waits for its reader, and the front with it
	}
}

// Resume ends a drain: connections are kept again.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAt = time.Time{}
}

// leaves tells how long a connection without an open set-up is kept in a drain.
func (c *conn) leaves() (left time.Duration, drains bool) {
	if c.server.drainAt.IsZero() || !c.asked || c.standing > 0 {
		return 0, false
	}
	return time.Until(c.server.drainAt), true
}

// Serve accepts connections until the listener is closed, and serves them until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	pause := time.Millisecond
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // out of descriptors, say: what is open still gets its answers
			s.Log.Error("accept failed", "err", err)
			time.Sleep(pause)
			pause = min(2*pause, 100*time.Millisecond)
			continue
		}
		pause = time.Millisecond
		s.mu.Lock()
		over := len(s.conns)-s.parting >= s.MaxOpen && !s.room()
		cn := newConn(c, s)
		if !over {
			s.conns[cn] = true
		}
		s.mu.Unlock()
		if over {
			s.Log.Warn("caller connection ended", "reason", sip.OverLimit, "peer", c.RemoteAddr().String())
			c.Close()
			continue
		}
		g.Go(func() error { s.serve(ctx, cn); return nil })
	}
	return g.Wait()
}

// Unfinished tells how many connections are still to be served before the end: a set-up is open there, or read in part, or
// the connection is one that a drain has not closed yet. Calls that only stand go on without it.
func (s *Server) Unfinished() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if _, begun := c.Begun(); !c.gone && (begun || c.open > 0 || c.asked && c.standing == 0) {
			n++
		}
	}
	return n
}

// Refuse has all that still comes refused here, at once: nothing more reaches the core.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// Shutdown ends all connections in order, and waits for that until ctx ends. Refuse and the core's own refusal of all
// that waits come before it, so that every set-up that was read gets its answer first.
func (s *Server) Shutdown(ctx context.Context) {
	tick := time.NewTicker(shutdownStep)
	defer tick.Stop()
	for {
		s.mu.Lock()
		for c := range s.conns {
			if c.open == 0 {
				c.gone = true
				c.Conn.Close()
			}
		}
		left := len(s.conns)
		s.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) serve(ctx context.Context, c *conn) {
	began := time.Now()
	s.mu.Lock()
	s.flushLate(c)
	s.mu.Unlock()
	reason, err := c.Run(ctx, c.take)
	s.mu.Lock()
	delete(s.conns, c)
	if c.parts {
		s.parting--
	}
	c.gone = true
	left := len(s.abandon(c))
	s.mu.Unlock()
	s.Log.Info("caller connection ended", "reason", reason, "peer", c.Remote(), "given_up", left, "turned_down", c.turned,
		"age_ms", time.Since(began).Milliseconds(), "err", err)
}

// take handles one message of a caller.
func (c *conn) take(m *sip.Message) error {
	if m.Status != 0 {
		return nil // 'release heard', which is free
	}
	id := string(m.Get("Call-ID"))
	switch string(m.Method) {
	case "INVITE":
		if status, why := c.setup(m, id); status != 0 {
			if c.turned++; c.turned <= turnedLogged {
				c.server.Log.Warn("set-up turned down", "status", status, "why", why, "peer", c.Remote())
			}
			c.Send(sip.Answer(m, status))
		}
	case "CANCEL":
		if !c.cancel(id) {
			c.Send(sip.Answer(m, 481))
		}
	case "BYE":
		status := 481
		if c.server.forget(id, true) {
			status = 200
		}
		c.Send(sip.Answer(m, status))
		c.server.Core.HangUp(id, owner)
	case "OPTIONS":
		c.use()
		status := 200
		if !c.server.Ready() {
			status = 503
		}
		c.Send(sip.Answer(m, status))
	case "ACK", "NOTIFY":
	default:
		c.Send(sip.Answer(m, 405))
	}
	return nil
}

// cancel gives a set-up up, or releases the call where its answer crossed the CANCEL. Only the connection of the
// set-up may: a stranger who knows an id must not end another's call.
func (c *conn) cancel(id string) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil || t.conn != c {
		return false
	}
	s.remove(t)
	s.Core.GiveUp(id, owner, nil)
	return true
}

// forget drops a transaction that its caller ended.
func (s *Server) forget(id string, stood bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil || stood && !t.stood {
		return false
	}
	s.remove(t)
	return true
}

// remove ends a transaction. Called under the lock.
func (s *Server) remove(t *txn) {
	delete(s.txns, t.id)
	if t.conn == nil {
		return
	}
	if t.stood {
		t.standing--
	} else {
		t.open--
	}
	t.used = time.Now()
	t.conn.answered()
}

// answered has the reader look whether the connection is to be closed, in a drain. Called under the lock.
func (c *conn) answered() {
	if c.open == 0 && !c.server.drainAt.IsZero() {
		c.Wake()
	}
}

// use notes that something valid was asked.
func (c *conn) use() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.stays()
	c.ask()
}

// ask is use under the lock.
func (c *conn) ask() {
	c.used = time.Now()
	if !c.asked {
		c.asked = true
		c.server.flushLate(c)
	}
}

// setup takes a set-up, or tells the status that turns it down. What the call keeps is copied out of the read
// buffer here.
func (c *conn) setup(m *sip.Message, id string) (status int, why string) {
	seq, method, ok := m.CSeq()
	switch {
	case !callID(id):
		return 400, "Call-ID is not 16 hex digits"
	case !ok || string(method) != "INVITE":
		return 400, "CSeq does not name INVITE"
	case len(m.User()) == 0:
		return 400, "no number in the first line"
	case len(m.Body) > sip.MaxMessage-headRoom-len(m.User()):
		return 413, "description leaves no room for the headers to an office"
	}
	number := string(m.User())
	call := exchange.Setup{ID: id, Owner: owner, Number: number, Desc: bytes.Clone(m.Body), Dest: -1,
		Retry: string(m.Get("X-Retry")) == "1"}
	var patience *int64
	if p := m.Get("X-Patience"); p != nil {
		ms, err := strconv.ParseInt(string(p), 10, 64)
		if err != nil {
			return 400, "X-Patience is no number"
		}
		patience = &ms
	}
	if facts := m.Get("X-Facts"); facts != nil {
		for _, fact := range strings.Split(string(facts), ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(fact), ":")
			n, err := strconv.ParseInt(value, 10, 32)
			switch {
			case name == "dest" && err != nil:
				return 400, "dest in X-Facts is no number"
			case name == "dest":
				call.Dest = int(n)
			case name == "width" && (err != nil || n < 1):
				return 400, "width in X-Facts is no number of circuits"
			case name == "again":
				call.Again = n == 1
			}
		}
	}
	err := c.server.Names.Fill(&call, string(m.Get("Subject")), string(m.Get("Organization")), patience, m.At)
	if err != nil {
		return 400, err.Error()
	}
	echo := sip.Echo(m)
	if len(echo) > echoMost {
		return 400, "headers that an answer repeats are over 1 KiB"
	}
	s := c.server
	t := &txn{conn: c, id: id, number: number, sum: call.Sum(), echo: echo, seq: seq}
	s.mu.Lock()
	c.stays()
	old := s.txns[id]
	twice := old != nil && old.conn == c && old.sum == t.sum && bytes.Equal(old.echo, t.echo)
	gone, full := c.gone || s.refusing || c.outstays(), c.open >= openMost
	take := old == nil && !gone && !full
	if take {
		s.txns[id] = t
		c.ask()
		c.open++
	}
	s.mu.Unlock()
	switch {
	case old == nil && gone: // it had come before its caller could see the end; trying again is harmless
		return 503, "the connection ends"
	case old == nil && full:
		return 503, "too many set-ups open on the connection"
	case take:
		c.MarkHandled() // the core may ask for the client before the reader asks for more
		s.Core.Arrive(call, s)
	case !twice: // joined, the answer to the first would go to whoever names its id
		return 482, "Call-ID of another set-up"
	}
	return 0, ""
}

func callID(id string) bool {
	if len(id) != 16 {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// Answer implements exchange.Caller.
func (s *Server) Answer(id string, f exchange.Final) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil || t.stood {
		return // never a second answer
	}
	status := map[exchange.Verdict]int{exchange.Stands: 200, exchange.Refused: 503, exchange.Failed: 500}[f.Verdict]
	b := append(sip.AppendStatus(make([]byte, 0, 512+len(f.Desc)), status), t.echo...)
	if f.Verdict == exchange.Stands {
		t.stood, t.echo = true, nil
		t.open, t.standing, t.used = t.open-1, t.standing+1, time.Now()
		t.answered()
	} else {
		s.remove(t)
	}
	if f.Wait > 0 {
		b = fmt.Appendf(b, "X-Later-Ms: %d\r\n", f.Wait.Milliseconds())
	}
	t.Send(sip.AppendBody(b, f.Desc))
}

// Presence implements exchange.PresenceChecker: a set-up belongs to its connection, and only that may cancel it.
func (s *Server) Presence(id string) exchange.Presence {
	t := s.waiting(id)
	if t == nil {
		return exchange.Gone
	}
	input := t.Input()
	switch {
	case input == sip.InputEnded, s.waiting(id) != t: // cancelled before the look, which then finds nothing unread
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.Unheard
	}
	return exchange.Connected
}

// waiting gives a set-up that waits for its answer, or nil.
func (s *Server) waiting(id string) *txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.txns[id]; t != nil && t.conn != nil {
		return t
	}
	return nil
}

// Release implements exchange.Caller. A call that stands belongs to no connection: where its own has gone,
// any other will do, and the next one to open where there is none.
func (s *Server) Release(id string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.txns[id]
	if t == nil {
		t = &txn{id: id, number: id}
	}
	s.remove(t)
	cause := "Q.850;cause=16"
	if cut {
		cause = "Q.850;cause=41"
	}
	b := sip.AppendRequest(nil, "BYE", t.number)
	b = sip.AppendHeader(b, "Via", "SIP/2.0/TCP masthill;branch=z9hG4bK"+id+".r")
	b = sip.AppendHeader(b, "Call-ID", id)
	b = fmt.Appendf(b, "CSeq: %d BYE\r\n", t.seq+1)
	b = sip.AppendBody(sip.AppendHeader(b, "Reason", cause), nil)
	if t.conn != nil && s.conns[t.conn] && !t.gone {
		t.Send(b)
		return
	}
	if c := s.another(t.conn); c != nil {
		c.Send(b)
		return
	}
	if len(s.late) < releasesMost {
		late := release{msg: b, until: time.Now().Add(releaseFor)}
		if t.conn != nil {
			late.host = t.host
		}
		s.late = append(s.late, late)
	}
}

// another finds a connection for the release of a call whose own has gone: one from the same host first, then one
// that has asked for something, the last of those. A stranger who has only connected may never read it.
func (s *Server) another(gone *conn) (best *conn) {
	most := 0
	for c := range s.conns {
		fit := 0
		switch {
		case c.gone:
		case gone != nil && c.host == gone.host:
			fit = 3
		case c.asked:
			fit = 2
		case gone == nil: // from before a restart: its caller may only just have come back
			fit = 1
		}
		if fit > most || fit > 0 && fit == most && c.used.After(best.used) {
			best, most = c, fit
		}
	}
	return best
}

// flushLate gives a connection the releases that found none: at once those of its host, or of a call from before a
// restart, and all of them once it has asked for something. Called under the lock.
func (s *Server) flushLate(c *conn) {
	s.late = slices.DeleteFunc(s.late, func(r release) bool {
		if time.Now().After(r.until) {
			return true
		}
		return (c.asked || r.host == "" || r.host == c.host) && c.Send(r.msg)
	})
}
