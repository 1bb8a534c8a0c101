package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is the instance under attack.
type target struct {
	sip, ws string
	clients int
	offices *offices
	sent    atomic.Int64 // messages or connections
	ids     atomic.Int64 // call ids drawn so far
}

// Attack is one way in which clients misbehave.
type Attack struct {
	Name  string
	Front Front
	Help  string
	run   func(ctx context.Context, t *target)
}

const (
	// longBody is the size in bytes of the body of a large request, within the greatest size of a message.
	longBody = 15 << 10
	// slowWriteInterval is the time between two bytes of a slow client.
	slowWriteInterval = 50 * time.Millisecond
	// hostileNumber begins the numbers that hostile clients call.
	hostileNumber = "666"
	// shortPatience is the patience of hostile calls that are to be held for as little as possible, longPatience that of calls
	// that are to be held for as long as the class allows.
	shortPatience, longPatience = time.Millisecond, 9 * time.Second
	// unreadBatch is how many set-ups a client writes before it leaves.
	unreadBatch = 200
)

// Attacks are all attacks.
var Attacks = []Attack{
	{"slow", SIP, "many clients that write a large request slowly", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openSIP, longInvite(""), slowly)
	}},
	{"half", SIP, "many clients that stop half way through a large request", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openSIP, longInvite("")[:longBody], holding)
	}},
	{"fields", SIP, "many clients with heads of very many short fields", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openSIP, "OPTIONS sip:ping@net SIP/2.0\r\n"+strings.Repeat("a:\r\n", longBody/4)+"Content-Length: 0\r\n\r\n", holding)
	}},
	{"deaf", SIP, "many clients that send requests and read no answer", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openSIP, strings.Repeat("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: ping\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n", deafRequests), deaf)
	}},
	{"tests", SIP, "one client with readiness tests at full speed", func(ctx context.Context, t *target) {
		flood(ctx, t, openSIP, func(int64) string {
			return "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: ping\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
		})
	}},
	{"unsound", SIP, "one client with invalid set-ups at full speed, each with names of its own", func(ctx context.Context, t *target) {
		flood(ctx, t, openSIP, func(n int64) string {
			return strings.Replace(invite(hexID(n), number(n), callPatience), "open-log", fmt.Sprint("class-", n), 1)
		})
	}},
	{"unknown", SIP, "one client that ends and cancels unknown calls at full speed", func(ctx context.Context, t *target) {
		flood(ctx, t, openSIP, func(n int64) string {
			method := []string{"BYE", "CANCEL"}[n%2]
			return fmt.Sprintf("%s sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 %s\r\nContent-Length: 0\r\n\r\n", method, hexID(n), method)
		})
	}},
	{"cancelled", SIP, "one client that sets up and cancels calls with ever new ids and numbers at full speed", floodCancelled},
	{"repeated", SIP, "the same, beside clients that leave in the middle of a set-up and come back with its id", func(ctx context.Context, t *target) {
		var g sync.WaitGroup
		g.Go(func() { floodCancelled(ctx, t) })
		for n := int64(0); ctx.Err() == nil; n++ {
			g.Go(func() { repeatCall(ctx, t, hexID(firstRepeated+n)) })
			time.Sleep(repeatInterval)
		}
		g.Wait()
	}},
	{"impatient", SIP, "one client with set-ups of 1 ms patience at full speed", func(ctx context.Context, t *target) {
		flood(ctx, t, openSIP, func(n int64) string { return invite(hexID(n), number(n), shortPatience) })
	}},
	{"unread", SIP, "clients that write set-ups and leave, and come back with the same ids", func(ctx context.Context, t *target) {
		for ctx.Err() == nil {
			first := t.ids.Add(unreadBatch)
			for range 2 {
				leaveUnread(ctx, t, first)
				time.Sleep(leaveGrace)
			}
		}
	}},
	{"slow", WebSocket, "many clients that write a large head slowly", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openHTTP, upgradeHead("X-Long: "+strings.Repeat("x", longBody)+"\r\n"), slowly)
	}},
	{"half", WebSocket, "many clients that stop half way through a large head", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openHTTP, upgradeHead("X-Long: " + strings.Repeat("x", longBody) + "\r\n")[:longBody], holding)
	}},
	{"half-frames", WebSocket, "many callers that stop half way through a large message", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openRawSocket, frame(textFrame, longBody, strings.Repeat("x", longBody-1)), holding)
	}},
	{"fields", WebSocket, "many clients with heads of very many short fields, which stop before the end", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openHTTP, strings.TrimSuffix(upgradeHead(manyFields()), "\r\n"), holding)
	}},
	{"fields-whole", WebSocket, "many clients with whole heads of very many short fields", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openHTTP, upgradeHead(manyFields()), holding)
	}},
	{"unknown", WebSocket, "one caller that ends unknown calls at full speed", func(ctx context.Context, t *target) {
		floodSocket(ctx, t, func(n int64) string { return fmt.Sprintf(`{"type":"hangup","id":"h%d"}`, n) })
	}},
	{"unsound", WebSocket, "one caller with invalid calls at full speed, each with names of its own", func(ctx context.Context, t *target) {
		floodSocket(ctx, t, func(n int64) string {
			return strings.Replace(callMessage(fmt.Sprint("h", n), number(n), callPatience), "open-log", fmt.Sprint("class-", n), 1)
		})
	}},
	{"cancelled", WebSocket, "one caller that sets up and cancels calls with ever new ids and numbers at full speed", func(ctx context.Context, t *target) {
		floodSocket(ctx, t, func(n int64) string {
			if n%2 == 0 {
				return fmt.Sprintf(`{"type":"cancel","id":"h%d"}`, n-1)
			}
			return callMessage(fmt.Sprint("h", n), number(n), longPatience)
		})
	}},
	{"impatient", WebSocket, "one caller with calls of 1 ms patience at full speed", func(ctx context.Context, t *target) {
		floodSocket(ctx, t, func(n int64) string { return callMessage(fmt.Sprint("h", n), number(n), shortPatience) })
	}},
	{"deaf", WebSocket, "many callers that send messages and read no answer", func(ctx context.Context, t *target) {
		manyClients(ctx, t, openRawSocket, strings.Repeat(textMessage(`{"type":"hangup","id":"h"}`), deafRequests), deaf)
	}},
	{"ready", WebSocket, "one client with readiness tests at full speed", func(ctx context.Context, t *target) {
		flood(ctx, t, openHTTP, func(int64) string { return "GET /v1/ready HTTP/1.1\r\nHost: n0\r\n\r\n" })
	}},
	{"pings", WebSocket, "one caller with pings at full speed", floodPings},
	{"unread", WebSocket, "callers that write calls and leave", func(ctx context.Context, t *target) {
		for ctx.Err() == nil {
			leaveSocketUnread(ctx, t)
			time.Sleep(leaveGrace)
		}
	}},
}

func hexID(n int64) string  { return fmt.Sprintf("%016x", 0x6660000000000000+n) }
func number(n int64) string { return fmt.Sprint(hostileNumber, n) }

func longInvite(id string) string {
	body := strings.Repeat("x", longBody)
	return "INVITE sip:17@net SIP/2.0\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nSubject: open-log\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// upgradeHead is the request for a WebSocket, without a valid token.
func upgradeHead(fields string) string {
	return "GET /v1/calls HTTP/1.1\r\nHost: n0\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" + fields + "\r\n"
}

// manyFields are as many fields of a head as fit, with names of their own.
func manyFields() string {
	var b strings.Builder
	for n := 0; b.Len() < longBody; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// slowly writes most of a text at once and the rest byte by byte.
func slowly(ctx context.Context, c net.Conn, text string) {
	if _, err := io.WriteString(c, text[:len(text)-100]); err != nil {
		return
	}
	for k := len(text) - 100; k < len(text) && ctx.Err() == nil; k++ {
		if _, err := c.Write([]byte{text[k]}); err != nil {
			return
		}
		time.Sleep(slowWriteInterval)
	}
	io.Copy(io.Discard, c)
}

// holding writes a text and then waits until the other side closes.
func holding(_ context.Context, c net.Conn, text string) {
	if _, err := io.WriteString(c, text); err == nil {
		io.Copy(io.Discard, c)
	}
}

// deafRequests is how many requests a client sends that reads no answer: more than the buffers of the system hold.
const deafRequests = 100_000

// deaf writes a text, reads nothing and waits until the other side closes.
func deaf(ctx context.Context, c net.Conn, text string) {
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := io.WriteString(c, text); err == nil {
		<-ctx.Done()
	}
}

// leaveUnread writes set-ups and closes the connection at once, with a reset where the answers are unread.
func leaveUnread(ctx context.Context, t *target, first int64) {
	c, err := net.DialTimeout("tcp", t.sip, time.Second)
	if err != nil {
		return
	}
	var b strings.Builder
	var ids []string
	for n := range int64(unreadBatch) {
		ids = append(ids, hexID(first+n))
		b.WriteString(invite(hexID(first+n), number(first), callPatience))
	}
	t.sent.Add(unreadBatch)
	io.WriteString(c, b.String())
	c.Close()
	t.offices.clientLeft(ids)
}

func floodCancelled(ctx context.Context, t *target) {
	flood(ctx, t, openSIP, func(n int64) string {
		return invite(hexID(n), number(n), longPatience) + fmt.Sprintf("CANCEL sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n", hexID(n))
	})
}

const (
	// firstRepeated is beyond the ids of a flood.
	firstRepeated = 1 << 40
	// repeatInterval is the time between two clients that come back, repeatPause how long each is away.
	repeatInterval, repeatPause = 100 * time.Millisecond, time.Second
)

// repeatCall sets a call up, leaves while its attempt is out, and comes back with the same id.
func repeatCall(ctx context.Context, t *target, id string) {
	for visit := range 2 {
		c, err := net.DialTimeout("tcp", t.sip, time.Second)
		if err != nil {
			return
		}
		io.WriteString(c, invite(id, number(1), longPatience))
		for deadline := time.Now().Add(repeatPause); t.offices.setUpsOf(id) <= visit && time.Now().Before(deadline) && ctx.Err() == nil; {
			time.Sleep(time.Millisecond)
		}
		c.Close()
		time.Sleep(repeatPause)
	}
}
