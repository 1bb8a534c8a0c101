package callws

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

const (
	// protocol is the WebSocket subprotocol that callers ask for.
	protocol = "callcontrol.v1"
	// resumeFor is how long a call whose socket closed mid-set-up waits for its caller to come back, if its
	// deadline is not sooner: time for a station's reconnect, and short against the work that an office does
	// for a caller who has left.
	resumeFor = 2 * time.Second
	// sweepEvery is how often calls without a socket are looked at.
	sweepEvery = 100 * time.Millisecond
	// releaseFor is how long the release of a call waits for a socket of its caller.
	releaseFor = 30 * time.Second
	// drainFor is how long after the begin of a drain a socket that is never without a call may bring new ones.
	drainFor = time.Second
	// shutdownStep is how often an orderly end looks whether it is through.
	shutdownStep = 2 * time.Millisecond
	// openMost bounds the calls of one socket that wait for their answer, as on the platform's port.
	openMost = 256
	// callsMost bounds the calls of this front, idMost a caller's call id.
	callsMost, idMost = 20000, 128
	// descMost is what a message to an office has room for beside its headers.
	descMost = messageMost - 1<<10
	// headerFor is the time for an upgrade's request, so that silent connections go.
	headerFor = 2500 * time.Millisecond
)

// Options is what a Front is made from.
type Options struct {
	Core    exchange.Desk
	Log     *slog.Logger
	Names   exchange.Names
	Callers map[string]string // tokens by identity
	Ready   func() bool       // whether the readiness test passes
	MaxOpen int               // connections held at once
}

// Front takes calls over WebSocket.
type Front struct {
	Options
	mu       sync.Mutex
	refusing bool      // nothing more is taken
	drainAt  time.Time // from then on sockets are closed as they have nothing open; zero: no drain
	socks    map[*sock]bool
	calls    map[string]*call // by the id that offices know
	group    *errgroup.Group
	ctx      context.Context
	over     bool          // no socket joins the group any more
	resume   time.Duration // resumeFor, but for tests
	accepts  *limited
}

// sock is one caller's socket.
type sock struct {
	*conn
	in       *sip.Input
	front    *Front
	identity string
	open     int // calls without their answer
	asked    bool
	since    time.Time
}

// call is a call of this front, until it has its refusal or its release has been told.
type call struct {
	id, identity string
	sum          uint64 // of the set-up
	sock         *sock  // nil: its socket closed
	stands, over bool
	cut          bool
	since        time.Time // it lost its socket, or is over without one
}

// request is what a caller sends.
type request struct {
	Type, ID, Class, Tenant, Number string
	PatienceMS                      *int64 `json:"patience_ms"`
	FirstChoice                     *int   `json:"first_choice"`
	Retry, Again                    bool
	description
}

// reply is what a caller is told.
type reply struct {
	Type    string `json:"type"`
	ID      string `json:"id,omitempty"`
	LaterMS int64  `json:"later_ms,omitempty"`
	Cut     *bool  `json:"cut,omitempty"`
	Code    int    `json:"code,omitempty"`
	Text    string `json:"text,omitempty"`
	description
}

// New makes a front.
func New(o Options) *Front {
	return &Front{Options: o, socks: map[*sock]bool{}, calls: map[string]*call{}, resume: resumeFor,
		accepts: &limited{log: o.Log, most: o.MaxOpen, open: map[*counted]bool{}}}
}

// Key is the id that offices know a call by: 16 hex digits of the caller's identity and its own id, so that
// callers can't reach each other's calls and a resend is the same call.
func Key(identity, id string) string {
	sum := sha256.Sum256([]byte(identity + "\x00" + id))
	return hex.EncodeToString(sum[:8])
}

// Drain closes sockets as soon as no call waits for its answer there, beginning after that time. What still comes is served.
func (f *Front) Drain(after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainAt = time.Now().Add(after)
}

// SetMaxOpen changes how many connections are held at once. Of those beyond, the ones that never became a socket make room.
func (f *Front) SetMaxOpen(n int) { f.accepts.setMost(n) }

// Resume ends a drain: sockets are kept again.
func (f *Front) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainAt = time.Time{}
}

// leave closes the sockets that a drain has no more use for. Called under the lock.
func (f *Front) leave() {
	if f.drainAt.IsZero() || time.Now().Before(f.drainAt) {
		return
	}
	for s := range f.socks {
		if s.open == 0 && (s.asked || time.Since(s.since) > headerFor) {
			s.Close()
		}
	}
}

// Serve takes connections until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	f.group, f.ctx = g, ctx
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/calls", f.upgrade)
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !f.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ConnState: f.state, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, rawConn{}, c)
	}, ReadHeaderTimeout: headerFor, IdleTimeout: headerFor,
		MaxHeaderBytes: messageMost, ErrorLog: slog.NewLogLogger(f.Log.Handler(), slog.LevelWarn)}
	g.Go(func() error {
		f.accepts.Listener = l
		if err := server.Serve(f.accepts); !errors.Is(err, http.ErrServerClosed) &&
			!errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		f.mu.Lock()
		f.over = true
		f.mu.Unlock()
		if err := server.Close(); !errors.Is(err, net.ErrClosed) { // the end of the program closes the listener first
			return err
		}
		return nil
	})
	g.Go(func() error { f.sweep(ctx); return nil })
	return g.Wait()
}

// state logs the end of a connection that never became a socket; a socket's own line comes from serve.
func (f *Front) state(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		f.Log.Info("call socket ended", "reason", noUpgrade, "peer", c.RemoteAddr().String())
	}
}

// rawConn is the key of a request's connection in its context.
type rawConn struct{}

// limited bounds the connections held at once. Those that never became a socket make room, the oldest first: peers
// that connect and say nothing must not keep callers out.
type limited struct {
	net.Listener
	log  *slog.Logger
	most int
	mu   sync.Mutex
	open map[*counted]bool
}

// counted is a connection that counts until it is closed.
type counted struct {
	net.Conn
	in      *sip.Input
	limited *limited
	since   time.Time
	// Under the lock of limited: it is a socket, or about to be; it has made room for another connection.
	socket, spared bool
}

// claim makes the connection a socket, unless it has made room already. It comes before the 101: a caller that has
// read that believes that it is connected, and must not be the one that makes room.
func (c *counted) claim() bool {
	c.limited.mu.Lock()
	defer c.limited.mu.Unlock()
	c.socket = !c.spared
	return c.socket
}

// disclaim takes a claim back whose upgrade failed.
func (c *counted) disclaim() {
	c.limited.mu.Lock()
	defer c.limited.mu.Unlock()
	c.socket = false
}

// Read implements net.Conn.
func (c *counted) Read(b []byte) (int, error) { return c.in.Read(b) }

func (c *counted) Close() error {
	c.limited.mu.Lock()
	delete(c.limited.open, c)
	c.limited.mu.Unlock()
	return c.Conn.Close()
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.log.Warn("call socket ended", "reason", sip.OverLimit, "peer", raw.RemoteAddr().String())
		raw.Close()
	}
}

// spare is the connection that makes room next, or nil. Called under the lock.
func (l *limited) spare() (spare *counted) {
	for c := range l.open {
		if !c.socket && !c.spared && (spare == nil || c.since.Before(spare.since)) {
			spare = c
		}
	}
	return spare
}

// setMost changes the bound.
func (l *limited) setMost(n int) {
	var beyond []*counted
	l.mu.Lock()
	l.most = n
	for len(l.open)-len(beyond) > n {
		c := l.spare()
		if c == nil {
			break
		}
		c.spared = true
		beyond = append(beyond, c)
	}
	l.mu.Unlock()
	for _, c := range beyond {
		c.Close()
	}
}

func (l *limited) admit(raw net.Conn) net.Conn {
	l.mu.Lock()
	spare := l.spare()
	full := len(l.open) >= l.most
	if full && spare == nil {
		l.mu.Unlock()
		return nil
	}
	c := &counted{Conn: raw, in: sip.NewInput(raw), limited: l, since: time.Now()}
	l.open[c] = true
	if full {
		spare.spared = true
	}
	l.mu.Unlock()
	if full {
		spare.Close() // the server logs it as one that never became a socket
	}
	return c
}

// Unfinished tells how many sockets are still to be served in a drain.
func (f *Front) Unfinished() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.socks {
		if s.open > 0 {
			n++
		}
	}
	return n
}

// Refuse has all that still comes refused here, at once: nothing more reaches the core.
func (f *Front) Refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = true
}

// Shutdown ends all sockets in order, and waits for that until ctx ends. Refuse and the core's own refusal of all that
// waits come before it, so that every call that was read gets its answer first.
func (f *Front) Shutdown(ctx context.Context) {
	tick := time.NewTicker(shutdownStep)
	defer tick.Stop()
	for {
		f.mu.Lock()
		for s := range f.socks {
			if s.open == 0 {
				s.Close()
			}
		}
		left := len(f.socks)
		f.mu.Unlock()
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

// identify finds the caller by its token.
func (f *Front) identify(r *http.Request) (identity string, ok bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	for name, known := range f.Callers {
		if found && subtle.ConstantTimeCompare([]byte(token), []byte(known)) == 1 {
			identity, ok = name, true
		}
	}
	return identity, ok
}

func (f *Front) upgrade(w http.ResponseWriter, r *http.Request) {
	identity, ok := f.identify(r)
	if !ok {
		f.Log.Warn("call socket turned down", "status", http.StatusUnauthorized, "peer", r.RemoteAddr)
		w.Header().Set("WWW-Authenticate", "Bearer")
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	raw := r.Context().Value(rawConn{}).(*counted)
	if !raw.claim() { // it is being closed to make room
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{protocol}})
	if err != nil {
		raw.disclaim()
		f.Log.Warn("call socket turned down", "status", http.StatusBadRequest, "peer", r.RemoteAddr, "err", err)
		return
	}
	s := &sock{conn: newConn(ws, raw), in: raw.in, front: f, identity: identity, since: time.Now()}
	s.left = raw.in.Closed
	peer := r.RemoteAddr
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over { // the group may have been waited for already
		ws.CloseNow()
		return
	}
	f.socks[s] = true // here, lest an orderly end pass over a socket that its caller already uses
	f.group.Go(func() error { f.serve(f.ctx, s, peer); return nil })
}

func (f *Front) serve(ctx context.Context, s *sock, peer string) {
	began := time.Now()
	f.mu.Lock()
	for key, c := range f.calls { // releases that found no socket
		if c.over && c.identity == s.identity {
			s.send(reply{Type: "released", ID: c.id, Cut: &c.cut})
			delete(f.calls, key)
		}
	}
	f.mu.Unlock()
	reason, err := s.run(ctx, s.take)
	f.mu.Lock()
	delete(f.socks, s)
	waiting := 0
	for key, c := range f.calls {
		if c.sock == s {
			if c.sock, c.since = nil, time.Now(); !c.stands {
				waiting++
				f.Core.Left(key, s.owner())
			}
		}
	}
	f.mu.Unlock()
	f.Log.Info("call socket ended", "reason", reason, "peer", peer, "identity", s.identity, "waiting", waiting,
		"age_ms", time.Since(began).Milliseconds(), "err", err)
}

// sweep gives up calls whose caller has not come back, and forgets releases that nobody came for. A standing
// call belongs to no socket and goes on, if its caller had heard that it stands.
func (f *Front) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		f.leave()
		for key, c := range f.calls {
			switch {
			case c.sock != nil:
			case c.over && time.Since(c.since) > releaseFor:
				delete(f.calls, key)
			case !c.over && !c.stands && time.Since(c.since) > f.resume:
				delete(f.calls, key)
				f.Core.GiveUp(key, "ws/"+c.identity, f)
			}
		}
		f.mu.Unlock()
	}
}

// take handles one message of a caller.
func (s *sock) take(data []byte) error {
	at := time.Now()
	var m request
	if json.Unmarshal(data, &m) != nil {
		return errUnreadable
	}
	switch {
	case m.ID == "" || len(m.ID) > idMost:
		s.send(reply{Type: "error", ID: m.ID, Code: 400, Text: "id: empty or over 128 bytes"})
	case m.Type == "call":
		if code, text := s.call(&m, at); code != 0 {
			s.front.Log.Warn("call turned down", "code", code, "why", text, "identity", s.identity)
			s.send(reply{Type: "error", ID: m.ID, Code: code, Text: text})
		}
	case m.Type == "cancel":
		s.forget(Key(s.identity, m.ID))
	case m.Type == "hangup":
		if !s.forget(Key(s.identity, m.ID)) {
			s.send(reply{Type: "error", ID: m.ID, Code: 481, Text: "no such call"})
			return nil
		}
		s.send(reply{Type: "released", ID: m.ID, Cut: new(bool)})
	default:
		s.send(reply{Type: "error", ID: m.ID, Code: 400, Text: "type: unknown"})
	}
	return nil
}

func (s *sock) owner() string { return "ws/" + s.identity }

// forget drops a call that its caller ended. The core is told under the lock, lest that overtake a set-up sent again.
func (s *sock) forget(key string) bool {
	f := s.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.calls[key]
	if ok && c.sock != nil && !c.stands {
		c.sock.open--
	}
	if ok {
		delete(f.calls, key)
		f.Core.GiveUp(key, s.owner(), nil)
	}
	return ok
}

// call takes a set-up, or one sent again after a reconnect: the exchange joins it to the running call or gives
// the recorded answer.
func (s *sock) call(m *request, at time.Time) (code int, text string) {
	if m.Number == "" {
		return 400, "number: empty"
	}
	key := Key(s.identity, m.ID)
	if len(m.raw()) > descMost {
		return 413, "description leaves no room for the headers to an office"
	}
	setup := exchange.Setup{ID: key, Owner: s.owner(), Number: m.Number, Desc: m.raw(), Dest: -1, Retry: m.Retry,
		Again: m.Again}
	if m.FirstChoice != nil {
		setup.Dest = *m.FirstChoice
	}
	if err := s.front.Names.Fill(&setup, m.Class, m.Tenant, m.PatienceMS, at); err != nil {
		return 400, err.Error()
	}
	f := s.front
	f.mu.Lock()
	c, sum := f.calls[key], setup.Sum()
	if c != nil && c.sum != sum { // joined, it would get the answer to another description
		f.mu.Unlock()
		return 482, "id of another call"
	}
	if late := !f.drainAt.IsZero() && time.Since(f.drainAt) > drainFor; c == nil && (f.refusing || late && s.open > 0) {
		f.mu.Unlock()
		return 503, "the instance ends"
	}
	if c == nil && (len(f.calls) >= callsMost || s.open >= openMost) {
		f.mu.Unlock()
		return 503, "too many calls"
	}
	if c == nil {
		c = &call{id: m.ID, identity: s.identity, sum: sum}
		f.calls[key] = c
	}
	if !c.stands {
		if c.sock != nil {
			c.sock.open--
		}
		s.open++
	}
	c.sock, s.asked = s, true
	f.mu.Unlock()
	f.Core.Arrive(setup, f)
	return 0, ""
}

// Answer implements exchange.Caller. An answer that finds no socket is on record: the caller gets it when it
// sends the call again.
func (f *Front) Answer(key string, final exchange.Final) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return
	}
	if c.sock != nil && !c.stands {
		c.sock.open--
	}
	if final.Verdict != exchange.Stands {
		delete(f.calls, key)
	} else if c.sock != nil {
		c.stands = true
	}
	if c.sock != nil {
		c.sock.send(reply{Type: final.Verdict.String(), ID: c.id, LaterMS: final.Wait.Milliseconds(),
			description: describe(final.Desc)})
	}
}

// Presence implements exchange.PresenceChecker. A call belongs to the socket that it came on last.
func (f *Front) Presence(key string) exchange.Presence {
	c, s := f.waiting(key)
	if s == nil {
		return exchange.Gone
	}
	input := s.in.Look()
	now, at := f.waiting(key)
	switch {
	case now != c || at == nil: // cancelled or closed before the look, which then finds nothing unread
		return exchange.Gone
	case at != s: // joined from another socket meanwhile, which was heard in that moment
		return exchange.Connected
	case input == sip.InputEnded:
		return exchange.Gone
	case input == sip.InputUnread:
		return exchange.Unheard
	}
	return exchange.Connected
}

// waiting gives a call that waits for its answer and the socket that it belongs to, or nil.
func (f *Front) waiting(key string) (*call, *sock) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return nil, nil
	}
	return c, c.sock
}

// Release implements exchange.Caller. It goes to the call's socket, to another of the same caller, or to the
// next one that the caller opens.
func (f *Front) Release(key string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return
	}
	to := c.sock
	for s := range f.socks {
		if to == nil && s.identity == c.identity {
			to = s
		}
	}
	if to == nil {
		c.over, c.cut, c.since = true, cut, time.Now()
		return
	}
	delete(f.calls, key)
	to.send(reply{Type: "released", ID: c.id, Cut: &cut})
}
