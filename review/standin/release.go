package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"masthill/internal/sip"
)

// idleClose is how long a caller keeps a connection that has no set-up open on it.
const idleClose = 4 * time.Second

// closingCaller makes calls over SIP, each on a connection of its own, at most one a second: closing-caller ADDRESS CALLS. It
// closes each connection 4 s after the answer, as a call that stands belongs to no connection, but the last one, on
// which a call stands to the end. It ends when the last call is released.
func closingCaller(args []string) int {
	calls, err := strconv.Atoi(args[1])
	if err != nil {
		return fail(err)
	}
	var all sync.WaitGroup
	for k := range calls {
		all.Go(func() { closingCall(args[0], fmt.Sprintf("%016x", 0xa0+k), k == calls-1) })
		time.Sleep(time.Second)
	}
	all.Wait()
	return 0
}

func closingCall(addr, id string, last bool) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		record("caller", "connect failed: %v", err)
		return
	}
	defer c.Close()
	b := sip.AppendRequest(nil, "INVITE", "7f3a9c21e0b4d655")
	for _, h := range [][2]string{{"Via", "SIP/2.0/TCP peer"}, {"Call-ID", id}, {"CSeq", "1 INVITE"}, {"Subject", "open-log"},
		{"Organization", "slaney-vines"}, {"X-Patience", "3000"}} {
		b = sip.AppendHeader(b, h[0], h[1])
	}
	c.Write(sip.AppendBody(b, []byte("offer")))
	record("caller", "set-up sent id=%s from=%s", id, c.LocalAddr())
	r := sip.NewReader(c)
	answeredAt := time.Time{}
	for {
		m, err := r.Next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			record("caller", "closes its connection, no set-up is open on it: %s", c.LocalAddr())
			return
		}
		if err != nil {
			record("caller", "connection ended %s: %v", c.LocalAddr(), err)
			return
		}
		switch of := string(m.Get("Call-ID")); {
		case m.Status >= 200 && answeredAt.IsZero():
			answeredAt = time.Now()
			record("caller", "answered id=%s status=%d", of, m.Status)
			ack := sip.AppendHeader(sip.AppendRequest(nil, "ACK", "7f3a9c21e0b4d655"), "Call-ID", of)
			c.Write(sip.AppendBody(sip.AppendHeader(ack, "CSeq", "1 ACK"), nil))
			if m.Status >= 300 {
				return
			}
			if !last {
				c.SetReadDeadline(answeredAt.Add(idleClose))
			}
		case string(m.Method) == "BYE":
			record("caller", "released id=%s on=%s", of, c.LocalAddr())
			c.Write(sip.Response(m, http.StatusOK))
			if of == id {
				c.SetReadDeadline(time.Now().Add(idleClose))
			}
		}
	}
}

// silentClients connect and say nothing, until they are closed: silent-clients ADDRESS RATE SECONDS. They read what they are sent.
func silentClients(args []string) int {
	rate, err := strconv.Atoi(args[1])
	if err != nil {
		return fail(err)
	}
	end := time.Now().Add(milliseconds(args[2] + "000"))
	var all sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		all.Go(func() {
			c, err := net.DialTimeout("tcp", args[0], time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r := sip.NewReader(c)
			for {
				m, err := r.Next()
				if err != nil {
					return
				}
				record("silent", "client %d, which never sent anything, received %s id=%s on=%s", n, m.Method, m.Get("Call-ID"), c.LocalAddr())
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	all.Wait()
	record("silent", "all have gone")
	return 0
}
