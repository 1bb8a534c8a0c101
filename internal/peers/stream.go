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
	// kindMost bounds a stream's kind, NameMost a member's name.
	kindMost, NameMost = 32, 64
	writeFor           = 3 * time.Second
	// streamsMost bounds the streams that one peer may have open here.
	streamsMost = 32
	windowMost  = 256 << 10
)

var (
	// ErrNoMember tells that nobody of that name is a member now.
	ErrNoMember = errors.New("no such member")
)

// Handler serves a stream that a member has opened; the stream is closed when it returns.
type Handler func(ctx context.Context, from string, c net.Conn)

// links are the sessions with other members, one for each at most: many ordered streams share one connection, each with a
// window of its own, so that a slow one does not hold the others up.
type links struct {
	name     string
	ring     *memberlist.Keyring
	log      *slog.Logger
	dial     func(ctx context.Context, name string) (net.Conn, error)
	handlers map[string]Handler
	group    *errgroup.Group
	ctx      context.Context
	mu       sync.Mutex
	out      map[string]*yamux.Session // by member
}

func session(c net.Conn, dialled bool, l *slog.Logger) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamsMost
	cfg.KeepAliveInterval, cfg.ConnectionWriteTimeout = 5*time.Second, writeFor
	cfg.StreamOpenTimeout, cfg.StreamCloseTimeout = greetFor, writeFor
	cfg.MaxStreamWindowSize = windowMost
	cfg.LogOutput, cfg.Logger = nil, log.New(io.Discard, "", 0)
	if dialled {
		return yamux.Client(c, cfg)
	}
	return yamux.Server(c, cfg)
}

// take serves a connection that another member has opened.
func (l *links) take(c net.Conn) {
	s, err := seal(c, l.ring, false)
	if err != nil {
		l.log.Warn("peer stream refused", "reason", "greeting", "peer", c.RemoteAddr().String(), "err", err)
		c.Close()
		return
	}
	c.SetReadDeadline(time.Now().Add(greetFor))
	from, err := readText(s, NameMost)
	if err != nil {
		l.log.Warn("peer stream refused", "reason", "no-key", "peer", c.RemoteAddr().String(), "err", err)
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	ses, err := session(s, false, l.log)
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
func (l *links) serve(ses *yamux.Session, from string) {
	g, ctx := errgroup.WithContext(l.ctx)
	g.SetLimit(streamsMost)
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
			c.SetReadDeadline(time.Now().Add(greetFor))
			kind, err := readText(c, kindMost)
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
func (l *links) open(ctx context.Context, name, kind string) (net.Conn, error) {
	l.mu.Lock()
	ses := l.out[name]
	l.mu.Unlock()
	if ses == nil || ses.IsClosed() {
		var err error
		if ses, err = l.begin(ctx, name); err != nil {
			return nil, err
		}
	}
	c, err := ses.Open()
	if err != nil {
		l.drop(name, ses)
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(greetFor))
	if err := writeText(c, kind); err != nil {
		c.Close()
		return nil, err
	}
	c.SetWriteDeadline(time.Time{})
	return c, nil
}

func (l *links) begin(ctx context.Context, name string) (*yamux.Session, error) {
	c, err := l.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	s, err := seal(c, l.ring, true)
	if err == nil {
		c.SetWriteDeadline(time.Now().Add(greetFor))
		err = writeText(s, l.name)
		c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	ses, err := session(s, true, l.log)
	if err != nil {
		c.Close()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.out[name]; other != nil && !other.IsClosed() { // another stream was quicker
		ses.Close()
		return other, nil
	}
	l.out[name] = ses
	return ses, nil
}

// drop ends the session with a member.
func (l *links) drop(name string, ses *yamux.Session) {
	l.mu.Lock()
	if l.out[name] == ses {
		delete(l.out, name)
	}
	l.mu.Unlock()
	ses.Close()
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, ses := range l.out {
		ses.Close()
		delete(l.out, name)
	}
}

// forget ends the session with a member that is gone.
func (l *links) forget(name string) {
	l.mu.Lock()
	ses := l.out[name]
	delete(l.out, name)
	l.mu.Unlock()
	if ses != nil {
		ses.Close()
	}
}

// dial connects to a member for streams.
func (p *Peers) dial(ctx context.Context, name string) (net.Conn, error) {
	for _, a := range p.addresses() {
		if a.Name == name {
			d := net.Dialer{Timeout: greetFor}
			return d.DialContext(ctx, "tcp", p.t.to(a))
		}
	}
	return nil, ErrNoMember
}

// Open opens a stream of a kind to a member. What it carries comes in order or not at all.
func (p *Peers) Open(ctx context.Context, name, kind string) (net.Conn, error) {
	return p.links.open(ctx, name, kind)
}
