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
	// maxKindLength bounds a stream's kind, MaxNameLength a member's name.
	maxKindLength, MaxNameLength = 32, 64
	writeTimeout                 = 3 * time.Second
	// maxStreamsPerPeer bounds the streams that one peer may have open here.
	maxStreamsPerPeer = 32
	maxStreamWindow   = 256 << 10
)

var (
	// ErrNoMember tells that nobody of that name is a member now.
	ErrNoMember = errors.New("no such member")
)

// Handler serves a stream that a member has opened; the stream is closed when it returns.
type Handler func(ctx context.Context, from string, c net.Conn)

// sessionPool are the sessions with other members, one for each at most: many ordered streams share one connection, each with a
// window of its own, so that a slow one does not hold the others up.
type sessionPool struct {
	name     string
	ring     *memberlist.Keyring
	log      *slog.Logger
	dial     func(ctx context.Context, name string) (net.Conn, error)
	handlers map[string]Handler
	group    *errgroup.Group
	ctx      context.Context
	mu       sync.Mutex
	byMember map[string]*yamux.Session // by member
}

func newSession(c net.Conn, dialled bool, l *slog.Logger) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxStreamsPerPeer
	cfg.KeepAliveInterval, cfg.ConnectionWriteTimeout = 5*time.Second, writeTimeout
	cfg.StreamOpenTimeout, cfg.StreamCloseTimeout = handshakeTimeout, writeTimeout
	cfg.MaxStreamWindowSize = maxStreamWindow
	cfg.LogOutput, cfg.Logger = nil, log.New(io.Discard, "", 0)
	if dialled {
		return yamux.Client(c, cfg)
	}
	return yamux.Server(c, cfg)
}

// accept serves a connection that another member has opened.
func (l *sessionPool) accept(c net.Conn) {
	s, err := seal(c, l.ring, false)
	if err != nil {
		l.log.Warn("peer stream refused", "reason", "greeting", "peer", c.RemoteAddr().String(), "err", err)
		c.Close()
		return
	}
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	from, err := readText(s, MaxNameLength)
	if err != nil {
		l.log.Warn("peer stream refused", "reason", "no-key", "peer", c.RemoteAddr().String(), "err", err)
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	ses, err := newSession(s, false, l.log)
	if err != nil {
		c.Close()
		return
	}
	l.group.Go(func() error {
		l.serve(ses, from)
		return nil
	})
}

// serve takes the streams of a session until it ends.
func (l *sessionPool) serve(ses *yamux.Session, from string) {
	g, ctx := errgroup.WithContext(l.ctx)
	g.SetLimit(maxStreamsPerPeer)
	stop := context.AfterFunc(ctx, func() { ses.Close() })
	defer stop()
	began := time.Now()
	var why error
	for {
		c, err := ses.Accept()
		if err != nil {
			why = err
			break
		}
		g.Go(func() error {
			defer c.Close()
			c.SetReadDeadline(time.Now().Add(handshakeTimeout))
			kind, err := readText(c, maxKindLength)
			if err != nil {
				return nil
			}
			c.SetReadDeadline(time.Time{})
			if h := l.handlers[kind]; h != nil {
				h(ctx, from, c)
			}
			return nil
		})
	}
	ses.Close()
	g.Wait()
	reason := "peer-closed"
	if l.ctx.Err() != nil {
		reason = "ending"
	}
	l.log.Info("peer session ended", "reason", reason, "member", from, "age_ms", time.Since(began).Milliseconds(), "err", why)
}

// open opens a stream to a member, over the session with it or a new one.
func (l *sessionPool) open(ctx context.Context, name, kind string) (net.Conn, error) {
	l.mu.Lock()
	ses := l.byMember[name]
	l.mu.Unlock()
	if ses == nil || ses.IsClosed() {
		var err error
		if ses, err = l.dialSession(ctx, name); err != nil {
			return nil, err
		}
	}
	c, err := ses.Open()
	if err != nil {
		l.remove(name, ses)
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

func (l *sessionPool) dialSession(ctx context.Context, name string) (*yamux.Session, error) {
	c, err := l.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	s, err := seal(c, l.ring, true)
	if err == nil {
		c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
		err = writeText(s, l.name)
		c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	ses, err := newSession(s, true, l.log)
	if err != nil {
		c.Close()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.byMember[name]; other != nil && !other.IsClosed() { // another stream was quicker
		ses.Close()
		return other, nil
	}
	l.byMember[name] = ses
	return ses, nil
}

// remove ends the session with a member.
func (l *sessionPool) remove(name string, ses *yamux.Session) {
	l.mu.Lock()
	if l.byMember[name] == ses {
		delete(l.byMember, name)
	}
	l.mu.Unlock()
	ses.Close()
}

func (l *sessionPool) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, ses := range l.byMember {
		ses.Close()
		delete(l.byMember, name)
	}
}

// closeMember ends the session with a member that is gone.
func (l *sessionPool) closeMember(name string) {
	l.mu.Lock()
	ses := l.byMember[name]
	delete(l.byMember, name)
	l.mu.Unlock()
	if ses != nil {
		ses.Close()
	}
}

// dial connects to a member for streams.
func (p *Peers) dial(ctx context.Context, name string) (net.Conn, error) {
	for _, a := range p.peerAddresses() {
		if a.Name == name {
			d := net.Dialer{Timeout: handshakeTimeout}
			return d.DialContext(ctx, "tcp", p.transport.addressOf(a))
		}
	}
	return nil, ErrNoMember
}

// Open opens a stream of a kind to a member. What it carries comes in order or not at all.
func (p *Peers) Open(ctx context.Context, name, kind string) (net.Conn, error) {
	return p.sessions.open(ctx, name, kind)
}
