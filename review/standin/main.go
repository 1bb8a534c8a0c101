// Command review-standin has the stand-ins of the review's cases: an office, the journal service, callers over SIP and over
// WebSocket. They listen on and connect to loopback addresses only. What they see goes to the file that RECORD names, one
// line an event, with the Unix time in milliseconds.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func main() {
	commands := map[string]func(args []string) int{
		"ports": ports, "sip-test": sipTest, "http": httpRequest, "list": serveList, "office": serveOffice, "sip-calls": sipCalls,
		"standing-caller": standingCaller, "keeping-caller": keepingCaller, "half-clients": halfClients,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin COMMAND ARGUMENTS")
		os.Exit(2)
	}
	os.Exit(commands[os.Args[1]](os.Args[2:]))
}

var recordLock sync.Mutex

// record appends a line to the record.
func record(who, format string, a ...any) {
	recordLock.Lock()
	defer recordLock.Unlock()
	f, err := os.OpenFile(os.Getenv("RECORD"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer f.Close()
	fmt.Fprintf(f, "%d %s %s\n", time.Now().UnixMilli(), who, fmt.Sprintf(format, a...))
}

// fail ends a stand-in that can't do its part.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "review-standin:", err)
	return 2
}

// milliseconds reads a duration that an argument gives in milliseconds.
func milliseconds(text string) time.Duration {
	n, err := strconv.Atoi(text)
	if err != nil {
		os.Exit(fail(err))
	}
	return time.Duration(n) * time.Millisecond
}

// ports prints free ports of the loopback address: ports COUNT.
func ports(args []string) int {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return fail(err)
	}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fail(err)
		}
		defer l.Close()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		fmt.Println(port)
	}
	return 0
}

// httpRequest makes a request and prints the status: http METHOD URL.
func httpRequest(args []string) int {
	request, err := http.NewRequest(args[0], args[1], nil)
	if err != nil {
		return fail(err)
	}
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		fmt.Println("none")
		return 1
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	fmt.Println(response.StatusCode, strings.TrimSpace(string(text)))
	return 0
}

// serveList is the journal service: list ADDRESS FILE. Each line of the file is one event; lines may be added.
func serveList(args []string) int {
	events := func() []string {
		text, err := os.ReadFile(args[1])
		if err != nil {
			os.Exit(fail(err))
		}
		return strings.Split(strings.TrimSpace(string(text)), "\n")
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		pos, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
		fmt.Fprint(w, ":\n\n")
		commentAt := time.Now().Add(time.Second)
		for r.Context().Err() == nil {
			for all := events(); pos < len(all); pos++ {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", pos+1, all[pos])
			}
			if time.Now().After(commentAt) {
				fmt.Fprint(w, ":\n\n")
				commentAt = time.Now().Add(time.Second)
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	http.HandleFunc("GET /journal", handler)
	return fail(http.ListenAndServe(args[0], nil))
}
