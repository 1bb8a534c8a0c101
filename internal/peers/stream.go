package peers

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"masthill/internal/logs"
)

const (
	// kindMost bounds a stream's kind, NameMost a member's name.
	kindMost, NameMost = 32, 64
	// MessageMost bounds one message of an ordered stream, queueMost the bytes that wait for a peer: a peer that takes less
	// than this in writeFor is let go.
	MessageMost, queueMost = 64 << 10, 1 << 20
	writeFor               = 3 * time.Second
	// streamsMost bounds the streams that one peer may have open here.
	streamsMost = 32
	windowMost  = 256 << 10
)

var (
	// ErrNoMember tells that nobody of that name is a member now.
	ErrNoMember = errors.New("no such member")
	// ErrLetGo tells that a peer took too little and is not waited for.
	ErrLetGo = errors.New("peer let go")
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

// writeText writes a short text behind its length.
func writeText(w io.Writer, s string) error {
	_, err := w.Write(append([]byte{byte(len(s))}, s...))
	return err
}

func readText(r io.Reader, most int) (string, error) {
	var n [1]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return "", err
	}
	if int(n[0]) > most {
		return "", fmt.Errorf("a name of %d bytes", n[0])
	}
	b := make([]byte, n[0])
	_, err := io.ReadFull(r, b)
	return string(b), err
}

// WriteMessage writes one message of a stream, behind its length.
func WriteMessage(w io.Writer, b []byte) error {
	if len(b) > MessageMost {
		return fmt.Errorf("a message of %d bytes", len(b))
	}
	record := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	_, err := w.Write(append(record, b...))
	return err
}

// ReadMessage reads one message.
func ReadMessage(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MessageMost {
		return nil, fmt.Errorf("a message of %d bytes", n)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}

// Ordered is an ordered stream to a member that is never waited for: what is put into it is sent in order, and a peer that
// takes too little is let go, with all that waits for it.
type Ordered struct {
	mu    sync.Mutex
	queue [][]byte
	bytes int
	wake  chan struct{}
	err   error
}

// Put hands over a message; it never blocks. An error tells that the stream is over: what was put before may not have
// arrived, and whoever needs it to sends it anew over another stream.
func (o *Ordered) Put(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && (len(b) > MessageMost || o.bytes+len(b) > queueMost) {
		o.err = ErrLetGo
	}
	if o.err != nil {
		return o.err
	}
	o.queue = append(o.queue, b)
	o.bytes += len(b)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// run sends until the stream or ctx ends.
func (o *Ordered) run(ctx context.Context, open func() (net.Conn, error)) error {
	c, err := open()
	if err == nil {
		defer c.Close()
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer stop()
	}
	for err == nil {
		o.mu.Lock()
		batch := o.queue
		o.queue, err = nil, o.err
		o.mu.Unlock()
		for _, b := range batch {
			if err == nil {
				c.SetWriteDeadline(time.Now().Add(writeFor))
				err = WriteMessage(c, b)
			}
			o.mu.Lock()
			o.bytes -= len(b)
			o.mu.Unlock()
		}
		if err == nil && len(batch) == 0 {
			select {
			case <-o.wake:
			case <-ctx.Done():
				err = ctx.Err()
			}
		}
	}
	o.mu.Lock()
	if o.err == nil {
		o.err = err
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			o.err = ErrLetGo
		}
	}
	o.queue, err = nil, o.err
	o.mu.Unlock()
	return err
}

// Ordered opens an ordered stream of a kind to a member. It is over with an error of Put.
func (p *Peers) Ordered(name, kind string) *Ordered {
	o := &Ordered{wake: make(chan struct{}, 1)}
	if p.list.Load() == nil {
		o.err = ErrNoMember
		return o
	}
	p.group.Go(func() error {
		err := o.run(p.ctx, func() (net.Conn, error) { return p.Open(p.ctx, name, kind) })
		p.log.Info("ordered stream ended", logs.Part, "peers", "reason", reasonOf(err), "member", name, "kind", kind, "err", err)
		return nil
	})
	return o
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, ErrLetGo):
		return "let-go"
	case errors.Is(err, context.Canceled):
		return "ending"
	case errors.Is(err, ErrNoMember):
		return "no-member"
	}
	return "peer-closed"
}
