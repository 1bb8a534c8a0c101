package peers

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
)

const (
	// MaxNameLength bounds a member's name.
	MaxNameLength = 64
	// maxKindLength bounds a stream's kind.
	maxKindLength = 32
	// maxStreamsPerPeer bounds the streams that one peer may have open here.
	maxStreamsPerPeer = 32
	// maxStreamWindow bounds the bytes of a stream that are in flight.
	maxStreamWindow = 256 << 10
	// writeTimeout is how long a peer may take to accept a write.
	writeTimeout = 3 * time.Second
	// keepAliveInterval is how often a session is checked.
	keepAliveInterval = 5 * time.Second
)

// ErrNoMember means that no member of the given name is alive.
var ErrNoMember = errors.New("no such member")

// Handler serves a stream that another member has opened. The stream is closed when it returns.
type Handler func(ctx context.Context, from string, c net.Conn)

// sessionPool holds at most one session with each other member. The streams with a member share the connection of its
// session, each with a window of its own, so that a slow stream does not delay the others.
type sessionPool struct {
	name     string
	keyring  *memberlist.Keyring
	log      *slog.Logger
	dial     func(ctx context.Context, name string) (net.Conn, error)
	handlers map[string]Handler
	group    *errgroup.Group
	ctx      context.Context

	mu       sync.Mutex
	byMember map[string]*yamux.Session // the sessions that this instance dialled
}

// newSession starts multiplexing over an encrypted connection.
func newSession(c net.Conn, dialled bool, _ *slog.Logger) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxStreamsPerPeer
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = handshakeTimeout
	cfg.StreamCloseTimeout = writeTimeout
	cfg.MaxStreamWindowSize = maxStreamWindow
	cfg.LogOutput = nil
	cfg.Logger = log.New(io.Discard, "", 0)
	if dialled {
		return yamux.Client(c, cfg)
	}
	return yamux.Server(c, cfg)
}

// accept authenticates a connection that another member has opened, and serves its session.
func (pool *sessionPool) accept(c net.Conn) {
	s, err := seal(c, pool.keyring, false)
	if err != nil {
		pool.log.Warn("peer stream refused", "reason", "greeting", "peer", c.RemoteAddr().String(), "err", err)
		c.Close()
		return
	}
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	from, err := readText(s, MaxNameLength)
	if err != nil {
		pool.log.Warn("peer stream refused", "reason", "no-key", "peer", c.RemoteAddr().String(), "err", err)
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	ses, err := newSession(s, false, pool.log)
	if err != nil {
		c.Close()
		return
	}
	pool.group.Go(func() error {
		pool.serve(ses, from)
		return nil
	})
}

// serve accepts the streams of a session until it ends. from is the name of the member that opened it.
func (pool *sessionPool) serve(ses *yamux.Session, from string) {
	g, ctx := errgroup.WithContext(pool.ctx)
	g.SetLimit(maxStreamsPerPeer)
	stop := context.AfterFunc(ctx, func() { ses.Close() })
	defer stop()
	startedAt := time.Now()
	var acceptErr error
	for acceptErr == nil {
		c, err := ses.Accept()
		if err != nil {
			acceptErr = err
			continue
		}
		g.Go(func() error {
			defer c.Close()
			pool.serveStream(ctx, from, c)
			return nil
		})
	}
	ses.Close()
	g.Wait()
	reason := "peer-closed"
	if pool.ctx.Err() != nil {
		reason = "ending"
	}
	pool.log.Info("peer session ended", "reason", reason, "member", from, "age_ms", time.Since(startedAt).Milliseconds(), "err", acceptErr)
}

// serveStream has the handler of a stream's kind serve it. A stream of an unknown kind is closed.
func (pool *sessionPool) serveStream(ctx context.Context, from string, c net.Conn) {
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	kind, err := readText(c, maxKindLength)
	if err != nil {
		return
	}
	c.SetReadDeadline(time.Time{})
	if handle := pool.handlers[kind]; handle != nil {
		handle(ctx, from, c)
	}
}

// open opens a stream to a member, over the existing session with it or a new one.
func (pool *sessionPool) open(ctx context.Context, name, kind string) (net.Conn, error) {
	pool.mu.Lock()
	ses := pool.byMember[name]
	pool.mu.Unlock()
	if ses == nil || ses.IsClosed() {
		var err error
		if ses, err = pool.dialSession(ctx, name); err != nil {
			return nil, err
		}
	}
	c, err := ses.Open()
	if err != nil {
		pool.remove(name, ses)
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	if err := writeText(c, kind); err != nil {
		c.Close()
		return nil, err
	}
	c.SetWriteDeadline(time.Time{})
	return c, nil
}

// dialSession connects to a member and starts a session with it.
func (pool *sessionPool) dialSession(ctx context.Context, name string) (*yamux.Session, error) {
	c, err := pool.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	s, err := seal(c, pool.keyring, true)
	if err == nil {
		c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
		err = writeText(s, pool.name)
		c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	ses, err := newSession(s, true, pool.log)
	if err != nil {
		c.Close()
		return nil, err
	}
	return pool.add(name, ses), nil
}

// add stores and returns a new session. If there is another one by now, the new one is closed and the other one returned.
func (pool *sessionPool) add(name string, ses *yamux.Session) *yamux.Session {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if other := pool.byMember[name]; other != nil && !other.IsClosed() {
		ses.Close()
		return other
	}
	pool.byMember[name] = ses
	return ses
}

// remove ends a session with a member. If a newer one is stored, that one stays.
func (pool *sessionPool) remove(name string, ses *yamux.Session) {
	pool.mu.Lock()
	if pool.byMember[name] == ses {
		delete(pool.byMember, name)
	}
	pool.mu.Unlock()
	ses.Close()
}

// close ends all sessions.
func (pool *sessionPool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for name, ses := range pool.byMember {
		ses.Close()
		delete(pool.byMember, name)
	}
}

// closeMember ends the session with a member.
func (pool *sessionPool) closeMember(name string) {
	pool.mu.Lock()
	ses := pool.byMember[name]
	delete(pool.byMember, name)
	pool.mu.Unlock()
	if ses != nil {
		ses.Close()
	}
}

// dial connects to a member.
func (p *Peers) dial(ctx context.Context, name string) (net.Conn, error) {
	for _, a := range p.peerAddresses() {
		if a.Name == name {
			return p.transport.dial(ctx, a, handshakeTimeout)
		}
	}
	return nil, ErrNoMember
}

// Open opens a stream of the given kind to a member. Its data arrives in order or not at all.
func (p *Peers) Open(ctx context.Context, name, kind string) (net.Conn, error) {
	return p.sessions.open(ctx, name, kind)
}
