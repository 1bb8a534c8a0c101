package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"masthill/internal/sip"
)

// keepingCaller makes calls over SIP, one a second and each on a connection of its own: keeping-caller ADDRESS CALLS. It closes a
// connection only when its call is over, and goes on until it is ended.
func keepingCaller(args []string) int {
	calls, err := strconv.Atoi(args[1])
	if err != nil {
		return fail(err)
	}
	for k := range calls {
		go keptCall(args[0], fmt.Sprintf("%016x", 0xa0+k))
		time.Sleep(time.Second)
	}
	select {}
}

func keptCall(addr, id string) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		record("caller", "connect failed id=%s: %v", id, err)
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
	for {
		m, err := r.Next()
		if err != nil {
			record("caller", "its connection was ended by the controller id=%s on=%s: %v", id, c.LocalAddr(), err)
			return
		}
		switch of := string(m.Get("Call-ID")); {
		case m.Status >= 200 && of == id:
			record("caller", "answered id=%s status=%d", of, m.Status)
			ack := sip.AppendHeader(sip.AppendRequest(nil, "ACK", "7f3a9c21e0b4d655"), "Call-ID", of)
			c.Write(sip.AppendBody(sip.AppendHeader(ack, "CSeq", "1 ACK"), nil))
			if m.Status >= 300 {
				return
			}
		case string(m.Method) == "BYE":
			record("caller", "released id=%s on=%s", of, c.LocalAddr())
			c.Write(sip.Response(m, http.StatusOK))
			if of == id {
				return
			}
		}
	}
}

// halfClients connect, send half a request and stop, until they are closed: half-clients ADDRESS RATE SECONDS. They read what they
// are sent.
func halfClients(args []string) int {
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
			io.WriteString(c, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n")
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r := sip.NewReader(c)
			for {
				m, err := r.Next()
				if err != nil {
					return
				}
				if m.Status == 0 {
					record("crowd", "client %d, which never sent a whole request, received %s id=%s on=%s", n, m.Method, m.Get("Call-ID"), c.LocalAddr())
				}
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	all.Wait()
	record("crowd", "all have gone")
	return 0
}
