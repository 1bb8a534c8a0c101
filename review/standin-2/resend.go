package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// runResend has several callers, each with one socket, set one call up each when it gets SIGUSR1; the offices answer after
// 2.5 s. It ends after 12 s more.
func runResend(url string, callers int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := make(chan os.Signal, 1)
	signal.Notify(start, syscall.SIGUSR1)
	var all []*wsCaller
	for k := range callers {
		c := &wsCaller{name: fmt.Sprintf("station-%d", k), url: url, token: fmt.Sprintf("a-token-of-station-%d-0123456789", k),
			pause: 50 * time.Millisecond, calls: map[string]*wsCall{}}
		all = append(all, c)
		go c.run(ctx)
	}
	<-start
	for k, c := range all {
		c.setUp("load-118", "delay=2000 length=3000\r\n", 3600*time.Millisecond, k%2)
	}
	time.Sleep(12 * time.Second)
	for _, c := range all {
		c.mu.Lock()
		for id, call := range c.calls {
			record(c.name, "summary", id, "answers", strings.Join(call.answers, ","), "released", fmt.Sprint(call.released))
		}
		c.mu.Unlock()
	}
}

// checkAttempts reads a record: no call may have two attempts out at once. An attempt is out from the moment it has
// reached an office whole until its end is written or it is given up; every limit is 50 ms longer. least is how many
// attempts there have to be.
func checkAttempts(file string, least int) {
	text, err := os.ReadFile(file)
	if err != nil {
		fatal(err)
	}
	const slack = 50
	type attempt struct{ office, call string }
	out := map[attempt]int{} // attempts that are out, since when
	attempts, broken := 0, 0
	type overlap struct {
		call   string
		second int
	}
	var open []overlap
	end := func(at int, call string) {
		var left []overlap
		for _, o := range open {
			if o.call != call {
				left = append(left, o)
				continue
			}
			if at-o.second > slack {
				broken++
				fmt.Printf("call %s had two attempts out at once for %d ms\n", call, at-o.second)
			}
		}
		open = left
	}
	twice := map[attempt]bool{} // two of them are out at one office
	for _, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) < 4 || !strings.HasPrefix(w[1], "office") {
			continue
		}
		at, a := number(w[0]), attempt{w[1], w[3]}
		switch w[2] {
		case "setup":
			attempts++
			for other := range out {
				if other.call == a.call {
					open = append(open, overlap{a.call, at})
				}
			}
			_, twice[a] = out[a]
			out[a] = at
		case "answer", "cancelled", "gone":
			end(at, a.call)
			if twice[a] {
				twice[a] = false
			} else {
				delete(out, a)
			}
		}
	}
	fmt.Printf("%d attempts, %d calls with two out at once\n", attempts, broken)
	if attempts < least {
		fatal("too few attempts")
	}
	if broken > 0 {
		os.Exit(1)
	}
}
