package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// newID makes the id of a set-up: 16 hex digits.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// caller is a station that speaks SIP to one controller over one connection, which it opens again when it has ended.
type caller struct {
	name, addr string
	mu         sync.Mutex
	conn       *sipConn
}

// connect opens the connection and reads from it until it ends.
func (c *caller) connect() *sipConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn
	}
	raw, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil
	}
	conn := newSIPConn(raw)
	c.conn = conn
	record(c.name, "connected", c.addr)
	go c.read(conn)
	return conn
}

func (c *caller) read(conn *sipConn) {
	for {
		m, err := conn.read()
		if err != nil {
			break
		}
		switch {
		case m.method == "BYE":
			conn.respond(m, 200, nil, "")
			record(c.name, "released", m.id())
		case m.method == "OPTIONS":
			conn.respond(m, 200, nil, "")
		case m.status >= 200 && m.answersTo() == "INVITE":
			conn.send("ACK sip:"+m.id()+"@net SIP/2.0", []string{"Via: SIP/2.0/TCP caller", "Call-ID: " + m.id(), "CSeq: 1 ACK"}, "")
			record(c.name, "answered", m.id(), strconv.Itoa(m.status))
		}
	}
	conn.Close()
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	record(c.name, "disconnected", c.addr)
}

// setUp sends one set-up.
func (c *caller) setUp(dest, length int) string {
	conn := c.connect()
	if conn == nil {
		return ""
	}
	id := newID()
	record(c.name, "setup", id, "dest", strconv.Itoa(dest), "length", strconv.Itoa(length))
	conn.send("INVITE sip:7f3a9c21e0b4d655@net SIP/2.0", []string{"Via: SIP/2.0/TCP caller", "Call-ID: " + id, "CSeq: 1 INVITE", "Subject: open-log",
		"X-Patience: 3000", "Organization: slaney-vines", fmt.Sprintf("X-Facts: dest:%d;width:1;via:-1", dest)},
		fmt.Sprintf("length=%d\r\nc=IN IP4 127.0.0.1\r\n", length))
	return id
}

// runSIPCaller sets calls up at controllers, as the lines that it reads from a pipe tell it: "long DEST LENGTH N" sets N
// calls up at the first controller; "on" and "off" begin and end one call every 400 ms at each controller, which lasts
// 1.5 s and names a pool from 1 on.
func runSIPCaller(addrs []string, pools int, pipe string) {
	var all []*caller
	for k, addr := range addrs {
		all = append(all, &caller{name: fmt.Sprintf("caller%d", k), addr: addr})
	}
	lines := make(chan string)
	go func() {
		for {
			f, err := os.Open(pipe)
			if err != nil {
				fatal(err)
			}
			s := bufio.NewScanner(f)
			for s.Scan() {
				lines <- s.Text()
			}
			f.Close()
		}
	}()
	on, dest := false, 0
	tick := time.NewTicker(400 * time.Millisecond)
	for {
		select {
		case line := <-lines:
			words := strings.Fields(line)
			switch {
			case len(words) == 0:
			case words[0] == "long" && len(words) == 4:
				for range number(words[3]) {
					all[0].setUp(number(words[1]), number(words[2]))
				}
			default:
				on = words[0] == "on"
			}
		case <-tick.C:
			for _, c := range all {
				if on {
					dest++
					c.setUp(1+dest%(pools-1), 1500)
				}
			}
		}
	}
}

// checkReleased reads a record: each call that stood for its caller and has ended at its office has to be released towards
// its caller within 8 s of its end and the 50 ms by which every limit is longer. Calls that have ended later than that
// before the record's end are left out. least is how many calls have to have stood.
func checkReleased(file string, least int) {
	text, err := os.ReadFile(file)
	if err != nil {
		fatal(err)
	}
	const limit = 8050
	stood, ended, released := map[string]bool{}, map[string]int{}, map[string]int{}
	last := 0
	for _, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		at := number(w[0])
		last = max(last, at)
		if len(w) < 4 {
			continue
		}
		switch {
		case w[2] == "answered" && len(w) > 4 && w[4] == "200":
			stood[w[3]] = true
		case w[2] == "end":
			ended[w[3]] = at
		case w[2] == "released" && released[w[3]] == 0:
			released[w[3]] = at
		}
	}
	broken, late := 0, 0
	for id, at := range ended {
		if !stood[id] || at+limit > last {
			continue
		}
		switch r, ok := released[id]; {
		case !ok:
			broken++
			fmt.Printf("call %s stood, ended, and was not released to its caller in %d ms\n", id, last-at)
		case r > at+limit:
			broken++
			fmt.Printf("call %s was released %d ms after its end\n", id, r-at)
		default:
			late = max(late, r-at)
		}
	}
	fmt.Printf("%d calls stood, %d ended, %d not released in time; the others within %d ms\n", len(stood), len(ended), broken, late)
	if len(stood) < least {
		fatal("too few calls stood")
	}
	if broken > 0 {
		os.Exit(1)
	}
}
