package journal

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/netcase"
)

const full = `{"pos":41,"hosts":{"version":7,"full":true,"servers":[{"id":"s-00c41f7a","addr":"10.1.0.9:2905",` +
	`"zone":"east","kind":"std","cell":2,"state":"SERVING","weight":4,"started_ms":12}]}}`

func delta(state string) string {
	return `{"pos":42,"hosts":{"version":8,"full":false,"servers":[{"id":"s-00c41f7a","addr":"10.1.0.9:2905",` +
		`"cell":2,"state":"` + state + `","weight":4}]}}`
}

type update struct {
	changed []exchange.Office
	full    bool
}

func newClient(tell func(update)) *Client {
	return &Client{Log: netcase.DiscardLogger(), Backoff: func(int) time.Duration { return time.Millisecond },
		OnChange: func(changed []exchange.Office, full bool) { tell(update{changed, full}) }}
}

func TestKnown(t *testing.T) {
	var got []update
	c := newClient(func(x update) { got = append(got, x) })
	c.LoadInitial(InitialList{Pos: 42, Entries: []json.RawMessage{[]byte(full), []byte(`{"pos":1}`), []byte(delta("DRAINING"))}})
	if len(got) != 2 || c.Pos != 42 || !got[0].full || got[1].full {
		t.Fatalf("%+v at %d", got, c.Pos)
	}
	want := exchange.Office{Addr: "10.1.0.9:2905", Entry: control.Entry{Cell: 2, Share: 4, Server: 0xc41f7a,
		ReadyAt: 12e6, State: control.Serving}}
	if got[0].changed[0] != want || got[1].changed[0].State != control.Draining {
		t.Errorf("%+v", got)
	}
}

func TestDecodeErrors(t *testing.T) {
	for in, want := range map[string]string{
		`{`: "JSON", `{"pos":1}`: "no hosts", delta("UP"): "servers[0].state",
		strings.Replace(full, "10.1.0.9:2905", "", 1): "no addr", strings.Replace(full, "s-00c41f7a", "", 1): "no id",
	} {
		if _, _, err := Decode([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", in, err)
		}
	}
	if a, b := ServerNumber("s-ff"), ServerNumber("office west"); a != 255 || b == 0 || b == ServerNumber("office east") {
		t.Errorf("numbers %d %d", a, b)
	}
}

// A stream gives the same events however it is split into reads. A malformed event is skipped, and its number is
// recorded, so that it is not requested again with each reconnect.
func TestStreamInAnySplit(t *testing.T) {
	text := ": hello\n\nid: 41\ndata: " + full + "\n\n:\n\nid: 42\r\ndata: {bad\r\n\r\nid: 42\ndata: " + full +
		"\n\nid: 43\ndata: " + delta("DELETED") + "\n\nid: 44\ndata: " + delta("SERVING")
	netcase.Check(t, func(t *rapid.T) {
		n := 0
		c := newClient(func(update) { n++ })
		if heard, err := c.readEvents(netcase.RandomReader(t, []byte(text)), func() {}); !heard || err == nil || n != 2 || c.Pos != 43 {
			t.Fatalf("%d events, at %d, %v", n, c.Pos, err)
		}
	})
}

func TestGarbage(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		c := newClient(func(update) {})
		data := netcase.Garbage(t, []byte("id: 41\ndata: "+full+"\n\n"))
		if _, err := c.readEvents(netcase.RandomReader(t, data), func() {}); err == nil {
			t.Fatal("no end")
		}
	})
}

// A broken stream is opened again with the number of the last event received.
func TestReconnectContinues(t *testing.T) {
	asked := make(chan string, 100)
	addr := netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Last-Event-ID")
		asked <- r.URL.Path + " " + id
		switch id {
		case "3":
			w.WriteHeader(http.StatusBadGateway)
		case "1":
			fmt.Fprintf(w, "id: 2\ndata: %s\n\n", full)
		case "2":
			fmt.Fprint(w, "id: 3\ndata: {bad\n\n") // and the stream breaks
		}
	})
	got := make(chan update, 1)
	c := newClient(func(x update) { got <- x })
	c.Addr, c.Pos = addr, 1
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	if x := <-got; len(x.changed) != 1 {
		t.Errorf("%+v", x)
	}
	for _, want := range []string{"/journal 1", "/journal 2", "/journal 3", "/journal 3"} {
		if a := <-asked; a != want {
			t.Errorf("asked %s, want %s", a, want)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// SetAddr takes effect at once, even if the old service is silent but still connected, and the position is kept.
func TestSetAddrKeepsPosition(t *testing.T) {
	asked := make(chan string, 10)
	serve := func(name string) string {
		return netcase.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
			asked <- name + r.Header.Get("Last-Event-ID")
			fmt.Fprintf(w, "id: 7\ndata: %s\n\n", full)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
	}
	got := make(chan update, 1)
	c := newClient(func(x update) { got <- x })
	c.Addr, c.Pos = serve("old "), 6
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	<-got
	c.SetAddr(serve("new "))
	for _, want := range []string{"old 6", "new 7"} {
		if a := <-asked; a != want {
			t.Errorf("asked %s, want %s", a, want)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestReasons(t *testing.T) {
	for _, tc := range []struct {
		heard bool
		err   error
		want  string
	}{
		{false, fmt.Errorf("%w: status 502", errStatus), "bad_status"},
		{true, context.Canceled, "silent"},
		{true, bufio.ErrTooLong, "too_long"},
		{true, io.EOF, "peer_closed"},
		{false, syscall.ECONNREFUSED, "connect_failed"},
		{true, syscall.ECONNRESET, "io_error"},
	} {
		if got := reason(tc.heard, tc.err); got != tc.want {
			t.Errorf("%v: %s, want %s", tc.err, got, tc.want)
		}
	}
}

// servePipes makes a service on pipes for the client: each connect is served by the next handler, and all further ones
// by the last.
func servePipes(t *testing.T, c *Client, handlers ...func(t *testing.T, peer net.Conn)) {
	n := 0
	c.Addr = "journal:1"
	c.Dial = func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		handle := handlers[min(n, len(handlers)-1)]
		n++
		go func() {
			defer theirs.Close()
			defer context.AfterFunc(t.Context(), func() { theirs.Close() })()
			handle(t, theirs)
		}()
		return ours, nil
	}
}

// streamHandler answers a request with a stream, whose content writeEvents writes.
func streamHandler(writeEvents func(w io.Writer)) func(*testing.T, net.Conn) {
	return func(t *testing.T, peer net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(peer)); err != nil {
			return
		}
		io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		writeEvents(peer)
		io.Copy(io.Discard, peer)
	}
}

func hang(_ *testing.T, peer net.Conn) { io.Copy(io.Discard, peer) }

// A long event over a slow link was taken for silence, as the timeout was reset by whole lines only, and each reconnect
// had it sent again from its start.
func TestLongEventOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan update, 1)
		c := newClient(func(x update) { got <- x })
		connects := 0
		servePipes(t, c, streamHandler(func(w io.Writer) {
			connects++
			for _, b := range []byte("id: 41\ndata: " + full + "\n\n") {
				time.Sleep(silenceTimeout / 100)
				if _, err := w.Write([]byte{b}); err != nil {
					return
				}
			}
		}))
		began := time.Now()
		go c.Run(t.Context())
		<-got
		if took := time.Since(began); took < silenceTimeout || connects != 1 {
			t.Errorf("after %v, %d connects", took, connects)
		}
	})
}

// A silent stream and two hanging connects in a row are given up in time: changes have to be known after 7 s.
func TestSilenceAndHangingConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan update, 1)
		c := newClient(func(x update) { got <- x })
		var last time.Time
		servePipes(t, c, streamHandler(func(w io.Writer) {
			io.WriteString(w, ":\n\n")
			last = time.Now()
		}), hang, hang, streamHandler(func(w io.Writer) { io.WriteString(w, "id: 41\ndata: "+full+"\n\n") }))
		go c.Run(t.Context())
		<-got
		if took := time.Since(last); took > 6*time.Second {
			t.Errorf("event received %v after the last line of the silent stream", took)
		}
	})
}

// After several calls of SetAddr, during a stream and during the pause before a reconnect, the client follows the last
// address.
func TestRepeatedSetAddr(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan update, 10)
		c := newClient(func(x update) { got <- x })
		c.Backoff = func(int) time.Duration { return time.Hour } // only SetAddr ends a pause
		var asked []string
		handlers := map[string]func(*testing.T, net.Conn){
			"first:1":  streamHandler(func(w io.Writer) { io.WriteString(w, "id: 41\ndata: "+full+"\n\n") }),
			"second:1": hang,
			"third:1":  func(_ *testing.T, peer net.Conn) {}, // closes at once, so that a pause follows
			"fourth:1": streamHandler(func(w io.Writer) { io.WriteString(w, "id: 41\ndata: "+full+"\n\nid: 42\ndata: "+full+"\n\n") }),
		}
		c.Dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			asked = append(asked, addr)
			ours, theirs := net.Pipe()
			go func() {
				defer theirs.Close()
				defer context.AfterFunc(t.Context(), func() { theirs.Close() })()
				handlers[addr](t, theirs)
			}()
			return ours, nil
		}
		c.Addr = "first:1"
		go c.Run(t.Context())
		<-got
		c.SetAddr("second:1")
		c.SetAddr("third:1")
		synctest.Wait() // until the client is in the pause
		c.SetAddr("fourth:1")
		<-got
		synctest.Wait()
		if len(got) != 0 || c.Pos != 42 || asked[len(asked)-1] != "fourth:1" || slices.Index(asked, "third:1") < 0 {
			t.Errorf("asked %v, at %d, %d events more", asked, c.Pos, len(got))
		}
	})
}
