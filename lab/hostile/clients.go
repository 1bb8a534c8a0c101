package hostile

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"masthill/internal/sip"
)

// opener opens a connection to the instance on which an attack may write.
type opener func(ctx context.Context, t *target) (net.Conn, error)

// openSIP opens a connection to the platform's front, openHTTP one to the WebSocket front.
func openSIP(_ context.Context, t *target) (net.Conn, error) {
	return net.DialTimeout("tcp", t.sip, time.Second)
}

func openHTTP(_ context.Context, t *target) (net.Conn, error) {
	return net.DialTimeout("tcp", t.ws, time.Second)
}

// reopening keeps a connection open until ctx ends, on which use acts; one that ends is opened again.
func reopening(ctx context.Context, t *target, open opener, use func(c net.Conn)) {
	for ctx.Err() == nil {
		c, err := open(ctx, t)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		use(c)
		stop()
		c.Close()
	}
}

// manyClients keeps t.clients connections open until ctx ends, on each of which write sends a text.
func manyClients(ctx context.Context, t *target, open opener, text string, write func(ctx context.Context, c net.Conn, text string)) {
	var g sync.WaitGroup
	for range t.clients {
		g.Go(func() {
			reopening(ctx, t, open, func(c net.Conn) {
				t.sent.Add(1)
				write(ctx, c, text)
			})
		})
	}
	g.Wait()
}

// flood sends messages over one connection as fast as the instance reads them, and reads the answers.
func flood(ctx context.Context, t *target, open opener, message func(n int64) string) {
	reopening(ctx, t, open, func(c net.Conn) {
		go io.Copy(io.Discard, c)
		for err := error(nil); err == nil; {
			var b strings.Builder
			for b.Len() < sip.MaxMessage {
				b.WriteString(message(t.ids.Add(1)))
				t.sent.Add(1)
			}
			_, err = io.WriteString(c, b.String())
		}
	})
}
