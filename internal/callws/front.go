package callws

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
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
)

const (
	// protocol is the WebSocket subprotocol that callers ask for.
	protocol = "callcontrol.v1"
	// resumeTimeout is how long a call whose socket closed mid-set-up waits for its caller to come back, if its
	// deadline is not sooner: time for a station's reconnect, and short against the work that an office does
	// for a caller who has left.
	resumeTimeout = 2 * time.Second
	// sweepInterval is how often calls without a socket are looked at.
	sweepInterval = 100 * time.Millisecond
	// releaseTimeout is how long the release of a call waits for a socket of its caller.
	releaseTimeout = 30 * time.Second
	// drainTimeout is how long after the begin of a drain a socket that is never without a call may bring new ones.
	drainTimeout = time.Second
	// shutdownInterval is how often an orderly end looks whether it is through.
	shutdownInterval = 2 * time.Millisecond
	// maxOpenCalls bounds the calls of one socket that wait for their answer, as on the platform's port.
	maxOpenCalls = 256
	// maxCalls bounds the calls of this front, maxIDBytes a caller's call id.
	maxCalls, maxIDBytes = 20000, 128
	// maxDescription is what a message to an office has room for beside its headers.
	maxDescription = maxMessage - 1<<10
	// headerTimeout is the time for an upgrade's request, so that silent connections go.
	headerTimeout = 2500 * time.Millisecond
)

// Options is what a Front is made from.
type Options struct {
	Core           exchange.CallHandler
	Log            *slog.Logger
	Names          exchange.Names
	Callers        map[string]string // tokens by identity
	Ready          func() bool       // whether the readiness test passes
	MaxConnections int               // connections held at once
}

// Front takes calls over WebSocket.
type Front struct {
	Options
	mu       sync.Mutex
	refusing bool      // nothing more is taken
	drainAt  time.Time // from then on sockets are closed as they have nothing open; zero: no drain
	sockets  map[*socket]bool
	calls    map[string]*call // by the id that offices know
	group    *errgroup.Group
	ctx      context.Context
	over     bool          // no socket joins the group any more
	resume   time.Duration // resumeTimeout, but for tests
	accepts  *boundedListener
}

// call is a call of this front, until it has its refusal or its release has been told.
type call struct {
	id, identity string
	sum          uint64  // of the set-up
	socket       *socket // nil: its socket closed
	stands, over bool
	cut          bool
	since        time.Time // it lost its socket, or is over without one
}

// New makes a front.
func New(o Options) *Front {
	return &Front{Options: o, sockets: map[*socket]bool{}, calls: map[string]*call{}, resume: resumeTimeout,
		accepts: &boundedListener{log: o.Log, most: o.MaxConnections, open: map[*trackedConn]bool{}}}
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

// SetCallers changes who may connect. A socket whose caller has another token now takes no further calls, and is closed once
// all that it has taken are answered.
func (f *Front) SetCallers(callers map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sockets {
		if callers[s.identity] != f.Callers[s.identity] {
			s.revoked = true
		}
	}
	f.Callers = callers
}

// Resume ends a drain: sockets are kept again.
func (f *Front) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainAt = time.Time{}
}

// leave closes the sockets that a drain has no more use for, and those of callers whose token has changed. Called under the lock.
func (f *Front) leave() {
	for s := range f.sockets {
		if s.revoked && s.open == 0 {
			s.Close()
		}
	}
	if f.drainAt.IsZero() || time.Now().Before(f.drainAt) {
		return
	}
	for s := range f.sockets {
		if s.open == 0 && (s.asked || time.Since(s.since) > headerTimeout) {
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
	}, ReadHeaderTimeout: headerTimeout, IdleTimeout: headerTimeout,
		MaxHeaderBytes: maxMessage, ErrorLog: slog.NewLogLogger(f.Log.Handler(), slog.LevelWarn)}
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

// Unfinished tells how many sockets are still to be served in a drain.
func (f *Front) Unfinished() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sockets {
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
	tick := time.NewTicker(shutdownInterval)
	defer tick.Stop()
	for {
		f.mu.Lock()
		for s := range f.sockets {
			if s.open == 0 {
				s.Close()
			}
		}
		left := len(f.sockets)
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
	f.mu.Lock()
	callers := f.Callers
	f.mu.Unlock()
	for name, known := range callers {
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
	raw := r.Context().Value(rawConn{}).(*trackedConn)
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
	s := &socket{conn: newConn(ws, raw), in: raw.in, front: f, identity: identity, since: time.Now()}
	s.left = raw.in.PeerClosed
	peer := r.RemoteAddr
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over { // the group may have been waited for already
		ws.CloseNow()
		return
	}
	f.sockets[s] = true // here, lest an orderly end pass over a socket that its caller already uses
	f.group.Go(func() error { f.serve(f.ctx, s, peer); return nil })
}

func (f *Front) serve(ctx context.Context, s *socket, peer string) {
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
	delete(f.sockets, s)
	waiting := 0
	for key, c := range f.calls {
		if c.socket == s {
			if c.socket, c.since = nil, time.Now(); !c.stands {
				waiting++
				f.Core.CallerDisconnected(key, s.owner())
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
	tick := time.NewTicker(sweepInterval)
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
			case c.socket != nil:
			case c.over && time.Since(c.since) > releaseTimeout:
				delete(f.calls, key)
			case !c.over && !c.stands && time.Since(c.since) > f.resume:
				delete(f.calls, key)
				f.Core.GiveUp(key, "ws/"+c.identity, f)
			}
		}
		f.mu.Unlock()
	}
}
