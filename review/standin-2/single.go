package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// runSingle connects, and on SIGUSR1 sets one call up at each of the pools 0 and 1, with a patience of 3.6 s; their offices
// answer after delay milliseconds. It ends when both have an answer, or after 6 s.
func runSingle(addr string, delay int) {
	raw, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		fatal(err)
	}
	c := newSIPConn(raw)
	start := make(chan os.Signal, 1)
	signal.Notify(start, syscall.SIGUSR1)
	c.send("OPTIONS sip:ping@net SIP/2.0", []string{"Via: SIP/2.0/TCP caller", "Call-ID: " + newID(), "CSeq: 1 OPTIONS"}, "")
	if m, err := c.read(); err != nil || m.status != 200 {
		fatal("the controller is not ready")
	}
	record("caller0", "connected", addr)
	<-start
	for dest := range 2 {
		id := newID()
		record("caller0", "setup", id, "dest", fmt.Sprint(dest))
		c.send("INVITE sip:7f3a9c21e0b4d655@net SIP/2.0", []string{"Via: SIP/2.0/TCP caller", "Call-ID: " + id, "CSeq: 1 INVITE", "Subject: open-log",
			"X-Patience: 3600", "Organization: slaney-vines", fmt.Sprintf("X-Facts: dest:%d;width:1;via:-1", dest)},
			fmt.Sprintf("delay=%d length=1000\r\nc=IN IP4 127.0.0.1\r\n", delay))
	}
	raw.SetReadDeadline(time.Now().Add(6 * time.Second))
	for answers := 0; answers < 2; {
		m, err := c.read()
		if err != nil {
			record("caller0", "connection-ended", err.Error())
			return
		}
		switch {
		case m.method == "BYE":
			c.respond(m, 200, nil, "")
		case m.status >= 200 && m.answersTo() == "INVITE":
			c.send("ACK sip:"+m.id()+"@net SIP/2.0", []string{"Via: SIP/2.0/TCP caller", "Call-ID: " + m.id(), "CSeq: 1 ACK"}, "")
			record("caller0", "answered", m.id(), fmt.Sprint(m.status))
			answers++
		}
	}
}

// checkHarmless reads a record: no call may be answered 503 or 480, "trying again is harmless", whose set-up had reached an
// office that has not said that it never ran.
func checkHarmless(file string) {
	text, err := os.ReadFile(file)
	if err != nil {
		fatal(err)
	}
	reached, calls, broken := map[string]string{}, 0, 0
	for _, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		switch {
		case len(w) < 4:
		case strings.HasPrefix(w[1], "office") && w[2] == "setup":
			reached[w[3]] = w[1]
		case w[2] == "answered" && len(w) > 4:
			calls++
			if office := reached[w[3]]; office != "" && (w[4] == "503" || w[4] == "480") {
				broken++
				fmt.Printf("call %s was answered %s, and its set-up had reached %s\n", w[3], w[4], office)
			}
		}
	}
	fmt.Printf("%d calls answered, %d of them wrongly as harmless to repeat\n", calls, broken)
	if calls == 0 {
		fatal("no call was answered")
	}
	if broken > 0 {
		os.Exit(1)
	}
}
