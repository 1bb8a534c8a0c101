package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/netcase"
)

// settling runs settle against a service that answers after a while, on the test's clock, and tells how long it took.
func settling(t *testing.T, answers time.Duration) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		in := &instance{feed: &journal.Client{Addr: "list:1", Log: netcase.DiscardLogger(), OnChange: func([]exchange.Office, bool) {},
			Dial: func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go func() {
					defer theirs.Close()
					defer context.AfterFunc(t.Context(), func() { theirs.Close() })()
					if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
						return
					}
					select {
					case <-time.After(answers):
						io.WriteString(theirs, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
						<-t.Context().Done()
					case <-t.Context().Done():
					}
				}()
				return ours, nil
			}}}
		go in.feed.Run(t.Context())
		began := time.Now()
		in.settle(t.Context())
		took = time.Since(began)
	})
	return took
}

// A start beside another process waits for the list, and no longer than settleFor where the service says nothing.
func TestSettleEnds(t *testing.T) {
	for answers, want := range map[time.Duration]time.Duration{0: endStep, 400 * time.Millisecond: 400*time.Millisecond + endStep, time.Hour: settleFor + endStep} {
		if took := settling(t, answers); took > want {
			t.Errorf("answered after %v: ready after %v", answers, took)
		}
	}
}

// Everything outside hangs: the list's service and the store of record take connects and say nothing, connects to servers
// never come up, and a snapshot of the process before is there. The instance is ready all the same: it waits for the list
// alone, by settleFor at the most.
func TestReadyWhereEverythingOutsideHangs(t *testing.T) {
	silent := netcase.ServeConns(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	hanging := hangingDiscovery(t) // as a server: connects hang
	admin, state := free(t), t.TempDir()
	project := fmt.Sprintf("[store]\ndriver = \"postgres\"\ndsn = \"postgres://u:p@%s/db\"\n[state]\ndir = %q\n", silent, state)
	text := strings.Replace(configuration(silent, []string{hanging.addr, silent}), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"admin":%q`, free(t), admin), 1)
	for round := range 2 { // the second one takes the first one's snapshot up
		began := time.Now()
		p := startWith(t, text, project)
		if !p.logged("msg=serving ") {
			t.Fatal("not ready")
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("start %d: ready after %v", round, took)
		}
		until(t, admin, http.StatusOK)
		if found := p.logged("snapshot=\"taken up"); found != (round == 1) {
			t.Errorf("start %d: snapshot taken up %v", round, found)
		}
		p.stop()
		if kept, _ := filepath.Glob(filepath.Join(state, "*")); len(kept) == 0 {
			t.Fatal("no snapshot kept")
		}
	}
}
