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

// listWaitTime runs waitForList against a journal service that answers after a delay, on a synthetic clock, and returns
// how long it took.
func listWaitTime(t *testing.T, answers time.Duration) (took time.Duration) {
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
		in.waitForList(t.Context())
		took = time.Since(began)
	})
	return took
}

// A start beside another process waits for the list, but no longer than listWaitTimeout if the service does not answer.
func TestWaitForListEnds(t *testing.T) {
	for answers, want := range map[time.Duration]time.Duration{0: pollInterval, 400 * time.Millisecond: 400*time.Millisecond + pollInterval, time.Hour: listWaitTimeout + pollInterval} {
		if took := listWaitTime(t, answers); took > want {
			t.Errorf("the service answered after %v: the wait took %v", answers, took)
		}
	}
}

// Everything outside hangs: the journal service and the database accept connections and send nothing, and connections
// to servers are never accepted. The second start also finds a snapshot. The instance still gets ready: it waits for
// the list alone, and for listWaitTimeout at most.
func TestReadyWhileOutsideServicesHang(t *testing.T) {
	silent := netcase.ServeConns(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	hanging := hangingDiscovery(t) // as a server: connecting hangs
	admin, state := freeAddr(t), t.TempDir()
	settingsText := fmt.Sprintf("[store]\ndriver = \"postgres\"\ndsn = \"postgres://u:p@%s/db\"\n[state]\ndir = %q\n", silent, state)
	text := strings.Replace(configuration(silent, []string{hanging.addr, silent}), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"admin":%q`, freeAddr(t), admin), 1)
	for round := range 2 { // the second start restores the snapshot of the first
		began := time.Now()
		p := startWith(t, text, settingsText)
		if !p.logged("msg=serving ") {
			t.Fatal("not ready")
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("start %d: ready after %v", round, took)
		}
		waitForHealth(t, admin, http.StatusOK)
		if found := p.logged("snapshot=\"taken up"); found != (round == 1) {
			t.Errorf("start %d: snapshot restored: %v", round, found)
		}
		p.stop()
		if kept, _ := filepath.Glob(filepath.Join(state, "*")); len(kept) == 0 {
			t.Fatal("no snapshot kept")
		}
	}
}
