package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// office is a session server that speaks the platform's SIP (PROTOCOL, "Session controllers to offices"). The description
// of a call tells it what to do, as words NAME=NUMBER in its first line: delay, the milliseconds until it answers; length,
// how many milliseconds the call lasts; marks, how many marks of XML its own description holds, in lines of markup.
type office struct {
	name  string
	mu    sync.Mutex
	conns []*sipConn // open, the oldest first
	calls []*call
}

// call is one set-up at an office, and then its call.
type call struct {
	id       string
	conn     *sipConn // of the set-up
	answered bool
	ended    bool
	heard    bool // the release was confirmed
	given    bool // the set-up was given up
}

// word returns the number that a description's first line gives for a name.
func word(description, name string, otherwise int) int {
	first, _, _ := strings.Cut(description, "\r\n")
	for _, w := range strings.Fields(first) {
		if value, ok := strings.CutPrefix(w, name+"="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				return n
			}
		}
	}
	return otherwise
}

// answerDescription is what the office answers: some lines of markup, all of it text.
func answerDescription(name string, marks int) string {
	b := "of " + name + "\r\n"
	for k := range marks / 4 {
		b += fmt.Sprintf("<m>%d</m>\r\n", k%10)
	}
	return b
}

func runOffice(addr, name string) {
	l := listen(addr)
	o := &office{name: name}
	go o.report()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go o.serve(newSIPConn(c))
	}
}

const state = "X-State: x0:400;x1:400;util:0.2;queue:0"

// report sends the group's state on all open connections.
func (o *office) report() {
	for {
		time.Sleep(500 * time.Millisecond)
		o.mu.Lock()
		conns := append([]*sipConn{}, o.conns...)
		o.mu.Unlock()
		for _, c := range conns {
			notify(c)
		}
	}
}

func notify(c *sipConn) {
	c.send("NOTIFY sip:state@net SIP/2.0", []string{"Via: SIP/2.0/TCP office", "Call-ID: 0000000000000000", "CSeq: 1 NOTIFY", state}, "")
}

func (o *office) serve(c *sipConn) {
	record(o.name, "connected", peer(c))
	notify(c)
	o.mu.Lock()
	o.conns = append(o.conns, c)
	var unheard []*call
	for _, cl := range o.calls { // a release goes also on the next connection opened
		if cl.ended && !cl.heard {
			unheard = append(unheard, cl)
		}
	}
	o.mu.Unlock()
	for _, cl := range unheard {
		o.sendRelease(c, cl)
	}
	for {
		m, err := c.read()
		if err != nil {
			break
		}
		o.handle(c, m)
	}
	c.Close()
	o.mu.Lock()
	for k, other := range o.conns {
		if other == c {
			o.conns = append(o.conns[:k], o.conns[k+1:]...)
			break
		}
	}
	for _, cl := range o.calls {
		if cl.conn == c && !cl.answered && !cl.given { // its set-ups are given up
			cl.given = true
			record(o.name, "gone", cl.id)
		}
	}
	o.mu.Unlock()
	record(o.name, "disconnected", peer(c))
}

// find returns the newest call of an id that was set up over a connection, or else the newest of that id; nil: there is none.
func (o *office) find(c *sipConn, id string) (found *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, cl := range o.calls {
		if cl.id == id && (found == nil || cl.conn == c || found.conn != c) {
			found = cl
		}
	}
	return found
}

func (o *office) handle(c *sipConn, m *message) {
	cl := o.find(c, m.id())
	switch {
	case m.method == "INVITE":
		o.invite(c, m)
	case m.method == "CANCEL":
		o.mu.Lock()
		if cl != nil && !cl.answered && cl.conn == c && !cl.given {
			cl.given = true
			record(o.name, "cancelled", cl.id)
		}
		o.mu.Unlock()
	case m.method == "BYE":
		c.respond(m, 200, nil, "")
		o.mu.Lock()
		if cl != nil && cl.answered && !cl.ended {
			cl.ended, cl.heard = true, true
			record(o.name, "released-by-controller", cl.id)
		}
		o.mu.Unlock()
	case m.method == "OPTIONS":
		c.respond(m, 200, nil, "")
	case m.status >= 200 && m.answersTo() == "BYE" && cl != nil:
		o.mu.Lock()
		cl.heard = true
		o.mu.Unlock()
		record(o.name, "release-heard", cl.id)
	}
}

func (o *office) invite(c *sipConn, m *message) {
	cl := &call{id: m.id(), conn: c}
	o.mu.Lock()
	o.calls = append(o.calls, cl)
	o.mu.Unlock()
	record(o.name, "setup", cl.id, "from", peer(c))
	time.AfterFunc(time.Duration(word(m.body, "delay", 20))*time.Millisecond, func() {
		o.mu.Lock()
		if cl.given {
			o.mu.Unlock()
			return
		}
		cl.answered = true
		o.mu.Unlock()
		description := answerDescription(o.name, word(m.body, "marks", 0))
		record(o.name, "answer", cl.id, "bytes", strconv.Itoa(len(description)))
		c.respond(m, 200, []string{state}, description)
		time.AfterFunc(time.Duration(word(m.body, "length", 1500))*time.Millisecond, func() { o.end(cl) })
	})
}

// end is the regular end of a call: its release goes on the connection of its set-up, otherwise on any open one, and also
// on the next one opened.
func (o *office) end(cl *call) {
	o.mu.Lock()
	if cl.ended {
		o.mu.Unlock()
		return
	}
	cl.ended = true
	var on *sipConn
	for _, c := range o.conns {
		if on == nil || c == cl.conn {
			on = c
		}
	}
	o.mu.Unlock()
	record(o.name, "end", cl.id)
	if on == nil {
		record(o.name, "no-connection-for-release", cl.id)
		return
	}
	o.sendRelease(on, cl)
}

func (o *office) sendRelease(c *sipConn, cl *call) {
	record(o.name, "release", cl.id, "to", peer(c))
	c.send("BYE sip:"+cl.id+"@net SIP/2.0", []string{"Via: SIP/2.0/TCP office", "Call-ID: " + cl.id, "CSeq: 2 BYE", "Reason: Q.850;cause=16", state}, "")
}

func peer(c net.Conn) string { return c.RemoteAddr().String() }
