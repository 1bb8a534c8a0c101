package main

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runEnder is a caller that sets calls up first and later only ends them, as the lines of a pipe tell it: "setup DEST LENGTH N"
// sets N calls up; "end PAUSE N" tests the controller, and then releases the N oldest calls that stand, one every PAUSE
// milliseconds, over its connection, which it opens again when it has ended. A release that comes for a call is confirmed.
func runEnder(addr, pipe string) {
	c := &caller{name: "caller0", addr: addr}
	var mu sync.Mutex
	var standing []string
	for {
		f, err := os.Open(pipe)
		if err != nil {
			fatal(err)
		}
		s := bufio.NewScanner(f)
		for s.Scan() {
			w := strings.Fields(s.Text())
			switch {
			case len(w) == 4 && w[0] == "setup":
				for range number(w[3]) {
					id := c.setUp(number(w[1]), number(w[2]))
					mu.Lock()
					standing = append(standing, id)
					mu.Unlock()
				}
			case len(w) == 3 && w[0] == "end":
				pause, n := number(w[1]), number(w[2])
				go func() {
					for range n {
						mu.Lock()
						id := standing[0]
						standing = standing[1:]
						mu.Unlock()
						if conn := c.connect(); conn != nil {
							record(c.name, "ends", id)
							conn.send("BYE sip:"+id+"@net SIP/2.0", []string{"Via: SIP/2.0/TCP caller", "Call-ID: " + id, "CSeq: 2 BYE",
								"Reason: Q.850;cause=16"}, "")
						} else {
							record(c.name, "no-connection", strconv.Itoa(n))
						}
						time.Sleep(time.Duration(pause) * time.Millisecond)
					}
				}()
			}
		}
		f.Close()
	}
}
