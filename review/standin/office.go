package main

import (
	"net"
	"sync"
	"time"

	"masthill/internal/sip"
)

// reportInterval is how often an office sends its report unasked.
const reportInterval = 500 * time.Millisecond

// office is a session server that takes every set-up, after a time, and releases each call at its end.
type office struct {
	name          string
	delay, length time.Duration

	mu     sync.Mutex
	conns  []net.Conn // the oldest first
	resend [][]byte   // releases that go on the next connection too
	calls  map[string]*officeCall
}

// officeCall is a set-up, or a call that stands.
type officeCall struct {
	id     string
	conn   net.Conn
	echo   []byte
	stands bool
}

// serveOffice is an office: office ADDRESS NAME LENGTH_MS DELAY_MS.
func serveOffice(args []string) int {
	l, err := net.Listen("tcp", args[0])
	if err != nil {
		return fail(err)
	}
	o := &office{name: args[1], length: milliseconds(args[2]), delay: milliseconds(args[3]), calls: map[string]*officeCall{}}
	go func() {
		for range time.Tick(reportInterval) {
			o.mu.Lock()
			for _, c := range o.conns {
				o.write(c, o.report())
			}
			o.mu.Unlock()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return fail(err)
		}
		go o.serve(c)
	}
}

// report is the state of the office. o.mu must be held, as for all methods below but serve.
func (o *office) report() []byte {
	return []byte("NOTIFY sip:x@net SIP/2.0\r\nX-State: x0:1000;x1:1000;util:0.20;queue:0\r\nContent-Length: 0\r\n\r\n")
}

func (o *office) write(c net.Conn, b []byte) {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(b); err != nil {
		c.Close()
	}
}

// serve serves a connection until it ends. Set-ups that are open on it then are given up.
func (o *office) serve(c net.Conn) {
	defer c.Close()
	o.mu.Lock()
	o.conns = append(o.conns, c)
	o.write(c, o.report())
	for _, b := range o.resend {
		o.write(c, b)
	}
	o.resend = nil
	o.mu.Unlock()
	r := sip.NewReader(c)
	for {
		m, err := r.Next()
		if err != nil {
			break
		}
		o.mu.Lock()
		o.handle(c, m)
		o.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, other := range o.conns {
		if other == c {
			o.conns = append(o.conns[:k:k], o.conns[k+1:]...)
			break
		}
	}
	for id, call := range o.calls {
		if call.conn == c && !call.stands {
			record(o.name, "set-up given up with its connection id=%s", id)
			delete(o.calls, id)
		}
	}
}

func (o *office) handle(c net.Conn, m *sip.Message) {
	id := string(m.Get("Call-ID"))
	switch string(m.Method) {
	case "INVITE":
		record(o.name, "set-up came id=%s patience_ms=%s", id, m.Get("X-Patience"))
		call := &officeCall{id: id, conn: c, echo: sip.EchoHeaders(m)}
		o.calls[id] = call
		time.AfterFunc(o.delay, func() { o.accept(call) })
	case "CANCEL":
		if call := o.calls[id]; call != nil && !call.stands {
			record(o.name, "set-up cancelled id=%s", id)
			delete(o.calls, id)
		}
	case "BYE":
		if o.calls[id] != nil {
			record(o.name, "released by the controller id=%s reason=%q", id, m.Get("Reason"))
			delete(o.calls, id)
		}
		o.write(c, sip.Response(m, 200))
	case "OPTIONS":
		o.write(c, sip.Response(m, 200))
	}
}

// accept answers a set-up that has not been given up. It takes the lock.
func (o *office) accept(call *officeCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls[call.id] != call {
		return
	}
	call.stands = true
	record(o.name, "call stands id=%s", call.id)
	b := append(sip.AppendStatus(nil, 200), call.echo...)
	o.write(call.conn, sip.AppendBody(b, []byte("log of "+call.id+" at "+o.name)))
	time.AfterFunc(o.length, func() { o.release(call) })
}

// release ends a call, on the connection of its set-up, else on the newest one, and also on the next one that is
// opened. It takes the lock.
func (o *office) release(call *officeCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls[call.id] != call || len(o.conns) == 0 {
		return
	}
	delete(o.calls, call.id)
	to := o.conns[len(o.conns)-1]
	for _, c := range o.conns {
		if c == call.conn {
			to = c
		}
	}
	record(o.name, "call over, release sent id=%s", call.id)
	b := sip.AppendRequest(nil, "BYE", call.id)
	b = sip.AppendHeader(b, "Call-ID", call.id)
	b = sip.AppendHeader(b, "CSeq", "9 BYE")
	b = sip.AppendHeader(b, "Reason", "Q.850;cause=16")
	b = sip.AppendBody(b, nil)
	o.write(to, b)
	o.resend = append(o.resend, b)
}
