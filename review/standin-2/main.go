// Command standin-2 has the stand-ins of the cases 6 and up: offices, the journal service, callers, and the checks that
// read what these have recorded. Each subcommand is a process of its own. RECORD names the file that all append to.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

var recordFile *os.File

// record appends one line: the Unix millisecond, who, and what.
func record(who string, words ...string) {
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%d %s %s\n", time.Now().UnixMilli(), who, strings.Join(words, " "))
	}
}

func fatal(a ...any) {
	fmt.Fprintln(os.Stderr, a...)
	os.Exit(2)
}

func listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fatal(err)
	}
	return l
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		fatal(err)
	}
	return n
}

func main() {
	if len(os.Args) < 2 {
		fatal("which stand-in?")
	}
	if name := os.Getenv("RECORD"); name != "" {
		f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			fatal(err)
		}
		recordFile = f
	}
	args := os.Args[2:]
	commands := map[string]struct {
		least int
		run   func()
	}{
		"ports":         {1, func() { printPorts(number(args[0])) }},
		"office":        {2, func() { runOffice(args[0], args[1]) }},
		"journal":       {2, func() { runJournal(args[0], args[1]) }},
		"status":        {1, func() { printStatus(args[0]) }},
		"sip-caller":    {3, func() { runSIPCaller(strings.Split(args[0], ","), number(args[1]), args[2]) }},
		"released":      {2, func() { checkReleased(args[0], number(args[1])) }},
		"ender":         {2, func() { runEnder(args[0], args[1]) }},
		"single":        {2, func() { runSingle(args[0], number(args[1])) }},
		"harmless":      {1, func() { checkHarmless(args[0]) }},
		"try-token":     {2, func() { tryToken(args[0], args[1]) }},
		"reset-proxy":   {2, func() { runResetProxy(args[0], args[1]) }},
		"resend":        {2, func() { runResend(args[0], number(args[1])) }},
		"attempts":      {2, func() { checkAttempts(args[0], number(args[1])) }},
		"large-answers": {3, func() { runLargeAnswers(args[0], args[1], number(args[2])) }},
	}
	c, ok := commands[os.Args[1]]
	if !ok || len(args) < c.least {
		fatal("usage: standin-2", os.Args[1], "...")
	}
	c.run()
}

// printPorts prints free loopback ports.
func printPorts(n int) {
	var open []net.Listener
	for range n {
		l := listen("127.0.0.1:0")
		open = append(open, l)
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		l.Close()
	}
}

// printStatus prints the status of a GET.
func printStatus(url string) {
	r, err := http.Get(url)
	if err != nil {
		os.Exit(1)
	}
	r.Body.Close()
	fmt.Println(r.StatusCode)
}

// runJournal serves the lines of a file as events, numbered from 1, also those that are added later, and a comment every
// second.
func runJournal(addr, file string) {
	http.Serve(listen(addr), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/journal" {
			http.NotFound(w, r)
			return
		}
		sent := 0
		if last := r.Header.Get("Last-Event-ID"); last != "" {
			sent, _ = strconv.Atoi(last)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		commented := time.Time{}
		for r.Context().Err() == nil {
			text, err := os.ReadFile(file)
			if err != nil {
				return
			}
			lines := strings.Split(string(text), "\n")
			for ; sent < len(lines)-1; sent++ {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent+1, lines[sent])
				record("journal", "told", strconv.Itoa(sent+1), "to", r.RemoteAddr)
			}
			if time.Since(commented) >= time.Second {
				commented = time.Now()
				fmt.Fprint(w, ":\n\n")
			}
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
}
