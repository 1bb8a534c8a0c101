package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// runProbes tests each instance ten times a second, as the front does (PROTOCOL: OPTIONS sip:ping@net), each time on a new
// connection, and records each change of what it finds: yes, no (another answer, a refused or closed connection) or silent
// (no answer within 1 s).
func runProbes(addrs []string) {
	for k, addr := range addrs {
		go func() {
			last := ""
			for {
				began := time.Now()
				if found := probe(addr); found != last {
					record("front", "instance", fmt.Sprint(k), found)
					last = found
				}
				time.Sleep(100*time.Millisecond - time.Since(began))
			}
		}()
	}
	select {}
}

func probe(addr string) string {
	raw, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no"
	}
	defer raw.Close()
	c := newSIPConn(raw)
	raw.SetDeadline(time.Now().Add(time.Second))
	id := newID()
	c.send("OPTIONS sip:ping@net SIP/2.0", []string{"Via: SIP/2.0/TCP front", "Call-ID: " + id, "CSeq: 1 OPTIONS"}, "")
	raw.SetDeadline(time.Now().Add(time.Second))
	m, err := c.read()
	switch {
	case err == nil && m.status == 200:
		return "yes"
	case err != nil && os.IsTimeout(err):
		return "silent"
	}
	return "no"
}

// checkWatched reads a record: after the line of the script that says "rollout", no instance but the first may be taken
// away before the first, once it has gone, has said yes for a time on end. 200 ms of it are for the probes' pace.
func checkWatched(file string, watch int) {
	text, err := os.ReadFile(file)
	if err != nil {
		fatal(err)
	}
	begun, gone, ready := false, false, 0 // ready: since when the first instance says yes, after it has gone
	longest := 0
	for _, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		switch {
		case len(w) > 3 && w[1] == "script" && w[2] == "rollout":
			begun = true
		case len(w) < 5 || w[1] != "front" || !begun:
		case w[3] == "0" && w[4] == "yes":
			if gone {
				ready = number(w[0])
			}
		case w[3] == "0":
			gone = true
			if ready > 0 {
				longest = max(longest, number(w[0])-ready)
			}
			ready = 0
		case w[4] != "yes":
			if ready > 0 {
				longest = max(longest, number(w[0])-ready)
			}
			fmt.Printf("instance %s was taken away when the first had said yes for %d ms on end; it is to be watched for %d ms\n", w[3], longest, watch)
			if longest < watch-200 {
				os.Exit(1)
			}
			return
		}
	}
	if !begun {
		fatal("no rollout")
	}
	fmt.Println("no other instance was taken away")
}
