package hostile

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/sip"
)

const (
	// officeCount is how many offices the instance knows.
	officeCount = 4
	// callLength is how long an office lets a call stand, reportInterval how often it reports its state.
	callLength, reportInterval = 500 * time.Millisecond, 500 * time.Millisecond
	// leaveGrace is how long after its client's end a set-up may still reach an office: what a client does takes effect within 0.1 s.
	leaveGrace = 100 * time.Millisecond
)

// offices are stand-ins that accept every call after a fixed time, and count the set-ups of hostile calls.
type offices struct {
	answerTime time.Duration
	mu         sync.Mutex
	setUps     map[string]int       // of hostile calls, by id
	left       map[string]time.Time // when the client of a hostile call left
	total      int64
	afterLeft  int64
	standing   map[string]bool // calls that have been answered and neither ended nor been released
	callLength time.Duration
	conns      map[net.Conn]bool
}

func newOffices(answerTime time.Duration) *offices {
	return &offices{answerTime: answerTime, setUps: map[string]int{}, left: map[string]time.Time{}, standing: map[string]bool{}, conns: map[net.Conn]bool{}, callLength: callLength}
}

// setUpsOf returns how many set-ups of a hostile call have reached offices.
func (o *offices) setUpsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.setUps[id]
}

// standingCalls returns the ids of the calls that stand.
func (o *offices) standingCalls() (ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.standing))
}

// stillStanding counts the calls of a list that still stand.
func (o *offices) stillStanding(ids []string) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range ids {
		if o.standing[id] {
			n++
		}
	}
	return n
}

// end ends a call, and tells whether it stood.
func (o *offices) end(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	stood := o.standing[id]
	delete(o.standing, id)
	return stood
}

// clientLeft records that the client of hostile calls has closed its connection or cancelled them.
func (o *offices) clientLeft(ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		o.left[id] = now
	}
}

// counts returns the set-ups after their client had left, the calls with more than one set-up, and all set-ups.
func (o *offices) counts() (afterLeft, repeated, total int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.setUps {
		if n > 1 {
			repeated++
		}
	}
	return o.afterLeft, repeated, o.total
}

// listen starts one office and returns its address.
func (o *offices) listen(ctx context.Context, g *errgroup.Group) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			go o.serve(ctx, c)
		}
	})
	return l.Addr().String(), nil
}

// serve serves one connection of the instance.
func (o *offices) serve(ctx context.Context, raw net.Conn) {
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	o.mu.Lock()
	o.conns[raw] = true
	o.mu.Unlock()
	defer func() {
		raw.Close()
		o.mu.Lock()
		delete(o.conns, raw)
		o.mu.Unlock()
	}()
	out := &lockedWriter{Conn: raw}
	go func() {
		for ctx.Err() == nil && out.send("NOTIFY sip:state@net SIP/2.0\r\nX-State: x0:100000;x1:100000;util:0.1;queue:0\r\nContent-Length: 0\r\n\r\n") {
			time.Sleep(reportInterval)
		}
	}()
	for r := sip.NewReader(raw); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		id := string(m.Get("Call-ID"))
		if string(m.Method) == "BYE" {
			o.end(id)
		}
		if string(m.Method) != "INVITE" {
			continue
		}
		o.countSetUp(id, string(m.User()))
		echo := string(sip.EchoHeaders(m))
		time.AfterFunc(o.answerTime, func() {
			o.mu.Lock()
			o.standing[id] = true
			o.mu.Unlock()
			out.send("SIP/2.0 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nok")
		})
		time.AfterFunc(o.answerTime+o.callLength, func() {
			if !o.end(id) {
				return
			}
			out.send(fmt.Sprintf("BYE sip:%s@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", id, id))
		})
	}
}

// countSetUp counts a set-up. Hostile clients call numbers of their own.
func (o *offices) countSetUp(id, number string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total++
	if number == goodNumber {
		return
	}
	o.setUps[id]++
	if at, ok := o.left[id]; ok && time.Since(at) > leaveGrace {
		o.afterLeft++
	}
}

// lockedWriter is a connection with serialized writes.
type lockedWriter struct {
	net.Conn
	mu sync.Mutex
}

// send writes a message, and tells whether that worked.
func (w *lockedWriter) send(text string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := w.Write([]byte(text))
	return err == nil
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
