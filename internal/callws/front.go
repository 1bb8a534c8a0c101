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
	// protocol is the WebSocket subprotocol for callers.
	protocol = "callcontrol.v1"
	// resumeTimeout is how long a call whose socket closed during set-up waits for its caller to reconnect, if its
	// deadline is not earlier: enough for a station to reconnect, and short compared with the work that an office would
	// do for a caller that has disconnected.
	resumeTimeout = 2 * time.Second
	// sweepInterval is how often calls without a socket are checked.
	sweepInterval = 100 * time.Millisecond
	// drainTimeout is how long after the start of a drain a socket that always has a call open may send new ones.
	drainTimeout = time.Second
	// shutdownInterval is how often Shutdown checks whether all sockets are closed.
	shutdownInterval = 2 * time.Millisecond
	// maxOpenCalls limits the unanswered calls of one socket, as on the platform's port.
	maxOpenCalls = 256
	// maxCalls limits the calls of this front, maxIDBytes the length of a caller's call id.
	maxCalls, maxIDBytes = 20000, 128
	// maxDescription is the size of a message to an office less 1 KiB for its headers.
	maxDescription = maxMessage - 1<<10
	// headerTimeout is the time limit for an upgrade request, so that silent connections are closed.
	headerTimeout = 2500 * time.Millisecond
)

// Options configures a Front.
type Options struct {
	Core           exchange.CallHandler
	Log            *slog.Logger
	Names          exchange.Names
	Callers        map[string]string // tokens by identity
	Ready          func() bool       // whether the readiness test passes
	MaxConnections int               // open at the same time
	// HandOver hands releases over to the next process, at the end, and tells whether that worked; nil: there is no way.
	HandOver func([]HeldRelease) bool
}

// Front accepts calls from callers over WebSocket.
type Front struct {
	Options
	mu        sync.Mutex
	refusing  bool      // new calls are refused
	drainFrom time.Time // sockets without unanswered calls are closed from this time on; zero: no drain
	sockets   map[*socket]bool
	calls     map[string]*call // by Key
	releases  []*release       // that have not been read, the oldest first
	group     *errgroup.Group
	ctx       context.Context
	stopped   bool          // no more sockets are added to group
	resume    time.Duration // resumeTimeout, except in tests
	listener  *boundedListener
}

// call is a call of this front, kept until it is refused or fails, its caller ends it, or it is released.
type call struct {
	id, identity string
	fingerprint  uint64  // of the set-up
	socket       *socket // nil: its socket closed
	accepted     bool
	detachedAt   time.Time // when it lost its socket
}

// New returns a Front; Serve runs it.
func New(o Options) *Front {
	return &Front{Options: o, sockets: map[*socket]bool{}, calls: map[string]*call{}, resume: resumeTimeout,
		listener: &boundedListener{log: o.Log, limit: o.MaxConnections, open: map[*trackedConn]bool{}}}
}

// Key is the id by which offices know a call: 16 hex digits of a hash of the caller's identity and its own call id, so
// that callers can't access each other's calls and a call that is sent again keeps its id.
func Key(identity, id string) string {
	sum := sha256.Sum256([]byte(identity + "\x00" + id))
	return hex.EncodeToString(sum[:8])
}

// Drain closes, once the given time has passed, each socket as soon as it has no unanswered call and is not needed for the
// release of an accepted one. Calls that still arrive are served.
func (f *Front) Drain(after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainFrom = time.Now().Add(after)
}

// SetMaxConnections changes the limit on open connections. Of those beyond it, the ones that have not become a socket are
// closed.
func (f *Front) SetMaxConnections(n int) { f.listener.setLimit(n) }

// SetCallers changes who may connect. A socket whose caller now has another token, or none, accepts no further calls. It is
// closed once all calls that it has accepted are answered, and its caller either has another socket or has no call left whose
// release it waits for.
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

// Resume ends a drain: sockets without calls stay open again.
func (f *Front) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainFrom = time.Time{}
}

// closeRevoked closes the sockets of callers whose token has changed, as far as they have no unanswered call. A caller that
// has no other socket keeps them until its accepted calls are over and it has read the releases: it can't connect again to
// hear of them. f.mu must be held.
func (f *Front) closeRevoked() {
	var closable []*socket
	connected := map[string]bool{} // by identity: it has a socket with a valid token
	for s := range f.sockets {
		if s.revoked && s.unanswered == 0 {
			closable = append(closable, s)
		}
		if !s.revoked && s.isOpen() {
			connected[s.identity] = true
		}
	}
	if len(closable) == 0 {
		return
	}
	awaiting := f.awaitingReleases()
	for _, s := range closable {
		if connected[s.identity] || !awaiting[s.identity] {
			s.Close()
		}
	}
}

// awaitingReleases returns the identities of callers with accepted calls or unread releases. f.mu must be held.
func (f *Front) awaitingReleases() map[string]bool {
	awaiting := map[string]bool{}
	for _, c := range f.calls {
		if c.accepted {
			awaiting[c.identity] = true
		}
	}
	for _, r := range f.releases {
		awaiting[r.identity] = true
	}
	return awaiting
}

// closeDrained closes the sockets that a drain no longer waits for, as far as they have no unanswered call. f.mu must be
// held.
func (f *Front) closeDrained() {
	if f.drainFrom.IsZero() || time.Now().Before(f.drainFrom) {
		return
	}
	needed := f.neededForReleases()
	for s := range f.sockets {
		if s.unanswered == 0 && !needed[s] && (s.hasCalled || time.Since(s.openedAt) > headerTimeout) {
			s.Close()
		}
	}
}

// neededForReleases returns the sockets that a drain keeps open for the releases of accepted calls, until they have been
// read: callers are sent to other instances, so that no other way to them may be left. It is the socket of the call, or
// the newest one of its caller if that has ended. f.mu must be held.
func (f *Front) neededForReleases() map[*socket]bool {
	newest := map[string]*socket{} // by identity
	for s := range f.sockets {
		if other := newest[s.identity]; s.isOpen() && (other == nil || s.openedAt.After(other.openedAt)) {
			newest[s.identity] = s
		}
	}
	needed := map[*socket]bool{}
	for _, c := range f.calls {
		switch {
		case !c.accepted:
		case c.socket.isOpen():
			needed[c.socket] = true
		default:
			needed[newest[c.identity]] = true
		}
	}
	for _, r := range f.releases {
		needed[newest[r.identity]] = true
	}
	return needed
}

// Serve accepts connections until ctx ends.
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
	server := &http.Server{Handler: mux, ConnState: f.logNotUpgraded, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, rawConn{}, c)
	}, ReadHeaderTimeout: headerTimeout, IdleTimeout: headerTimeout,
		MaxHeaderBytes: maxMessage, ErrorLog: slog.NewLogLogger(f.Log.Handler(), slog.LevelWarn)}
	g.Go(func() error {
		f.listener.Listener = l
		if err := server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) &&
			!errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		f.mu.Lock()
		f.stopped = true
		f.mu.Unlock()
		if err := server.Close(); !errors.Is(err, net.ErrClosed) { // shutdown of the program closes the listener first
			return err
		}
		return nil
	})
	g.Go(func() error { f.sweep(ctx); return nil })
	return g.Wait()
}

// logNotUpgraded logs the end of a connection that never became a socket; serve logs the end of a socket.
func (f *Front) logNotUpgraded(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		f.Log.Info("call socket ended", "reason", noUpgrade, "peer", c.RemoteAddr().String())
	}
}

// Unfinished returns the number of sockets with unanswered calls, which a drain waits for.
func (f *Front) Unfinished() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sockets {
		if s.unanswered > 0 {
			n++
		}
	}
	return n
}

// Refuse has the front refuse all new calls at once, without passing them to the exchange.
func (f *Front) Refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = true
}

// Shutdown closes every socket that has no unanswered call, and waits until all are closed or ctx ends. Before it,
// Refuse is to be called and the exchange is to refuse all calls that wait, so that every call that was read gets its
// answer first.
func (f *Front) Shutdown(ctx context.Context) {
	tick := time.NewTicker(shutdownInterval)
	defer tick.Stop()
	for {
		f.mu.Lock()
		for s := range f.sockets {
			if s.unanswered == 0 {
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

// identify returns the identity of the caller whose token the request carries.
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
	if !raw.claim() { // it is being closed to make room for another connection
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{protocol}})
	if err != nil {
		raw.unclaim()
		f.Log.Warn("call socket turned down", "status", http.StatusBadRequest, "peer", r.RemoteAddr, "err", err)
		return
	}
	s := &socket{conn: newConn(ws, raw), in: raw.in, front: f, identity: identity, openedAt: time.Now()}
	s.peerGone = raw.in.PeerClosed
	peer := r.RemoteAddr
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped { // Serve may have returned from group.Wait already
		ws.CloseNow()
		return
	}
	f.sockets[s] = true // here and not in serve, so that Shutdown can't miss a socket that its caller already uses
	f.group.Go(func() error { f.serve(f.ctx, s, peer); return nil })
}

func (f *Front) serve(ctx context.Context, s *socket, peer string) {
	startedAt := time.Now()
	f.mu.Lock()
	f.resendReleases(s)
	f.mu.Unlock()
	reason, err := s.run(ctx, s.handleMessage)
	f.mu.Lock()
	delete(f.sockets, s)
	f.releaseSocketEnded(s)
	waiting := 0
	for key, c := range f.calls {
		if c.socket == s {
			if c.socket, c.detachedAt = nil, time.Now(); !c.accepted {
				waiting++
				f.Core.CallerDisconnected(key, s.owner())
			}
		}
	}
	f.mu.Unlock()
	f.Log.Info("call socket ended", "reason", reason, "peer", peer, "identity", s.identity, "waiting", waiting,
		"age_ms", time.Since(startedAt).Milliseconds(), "err", err)
}

// sweep gives up calls whose caller has not reconnected in time. An accepted call does not depend on a socket and goes on,
// provided that its caller has been sent the acceptance.
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
		f.closeRevoked()
		f.closeDrained()
		f.sweepReleases()
		for key, c := range f.calls {
			if c.socket == nil && !c.accepted && time.Since(c.detachedAt) > f.resume {
				delete(f.calls, key)
				f.Core.GiveUp(key, "ws/"+c.identity, f)
			}
		}
		f.mu.Unlock()
	}
}
