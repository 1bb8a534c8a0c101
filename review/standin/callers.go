package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/sip"
)

// sipCalls sends a set-up each second on a new connection, and waits for each answer as long as its patience and 50 ms:
// sip-calls ADDRESS NAME SECONDS PATIENCE_MS. Calls that stand are released by the caller at once.
func sipCalls(args []string) int {
	count, err := strconv.Atoi(args[2])
	if err != nil {
		return fail(err)
	}
	var all sync.WaitGroup
	for k := range count {
		all.Go(func() {
			sipCall(args[0], args[1], fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, k), milliseconds(args[3]))
		})
		time.Sleep(time.Second)
	}
	all.Wait()
	return 0
}

func sipCall(addr, name, id string, patience time.Duration) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		record(name, "connect failed id=%s sent_ms=0 err=%v", id, err)
		return
	}
	defer c.Close()
	b := sip.AppendRequest(nil, "INVITE", "7f3a9c21e0b4d655")
	for _, h := range [][2]string{{"Via", "SIP/2.0/TCP peer"}, {"Call-ID", id}, {"CSeq", "1 INVITE"}, {"Subject", "open-log"},
		{"Organization", "slaney-vines"}, {"X-Patience", strconv.FormatInt(patience.Milliseconds(), 10)}} {
		b = sip.AppendHeader(b, h[0], h[1])
	}
	if _, err := c.Write(sip.AppendBody(b, []byte("offer"))); err != nil {
		record(name, "write failed id=%s sent_ms=0 err=%v", id, err)
		return
	}
	sentAt := time.Now()
	c.SetReadDeadline(sentAt.Add(patience + 50*time.Millisecond))
	r := sip.NewReader(c)
	for {
		m, err := r.Next()
		if err != nil {
			record(name, "no answer id=%s sent_ms=%d after_ms=%d err=%v", id, sentAt.UnixMilli(), time.Since(sentAt).Milliseconds(), err)
			return
		}
		if m.Status < 200 || string(m.Get("Call-ID")) != id {
			continue
		}
		record(name, "answer id=%s sent_ms=%d after_ms=%d status=%d", id, sentAt.UnixMilli(), time.Since(sentAt).Milliseconds(), m.Status)
		if m.Status < 300 {
			for _, method := range []string{"ACK", "BYE"} {
				b := sip.AppendHeader(sip.AppendRequest(nil, method, "7f3a9c21e0b4d655"), "Call-ID", id)
				b = sip.AppendHeader(sip.AppendHeader(b, "CSeq", "2 "+method), "Reason", "Q.850;cause=16")
				c.Write(sip.AppendBody(b, nil))
			}
			c.SetReadDeadline(time.Now().Add(time.Second))
			r.Next() // the answer to the release
		}
		return
	}
}

// connect opens a call control socket. The status is that of the answer, 0 where there was none.
func connect(addr, token string) (ws *websocket.Conn, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ws, response, err := websocket.Dial(ctx, "ws://"+addr+"/v1/calls", &websocket.DialOptions{Subprotocols: []string{"callcontrol.v1"},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	if response != nil {
		status = response.StatusCode
		if err != nil && response.Body != nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	return ws, status, err
}

// isReady asks an instance whether callers may come.
func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + addr + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// standingCaller sets one call up over WebSocket and waits for its release: standing-caller TOKEN NAME ADDRESS... When its
// socket is closed, it connects to the first of the addresses that says it is ready.
func standingCaller(args []string) int {
	token, name, addrs := args[0], args[1], args[2:]
	ws, _, err := connect(addrs[0], token)
	if err != nil {
		return fail(err)
	}
	record(name, "connected to=%s", addrs[0])
	call := `{"type":"call","id":"load-118","class":"open-log","tenant":"slaney-vines","number":"7f3a9c21e0b4d655","patience_ms":3000,"description":"offer"}`
	if err := ws.Write(context.Background(), websocket.MessageText, []byte(call)); err != nil {
		return fail(err)
	}
	record(name, "sent %s", call)
	at := addrs[0]
	for {
		_, text, err := ws.Read(context.Background())
		if err == nil {
			record(name, "received from=%s %s", at, text)
			var m struct{ Type, ID string }
			if json.Unmarshal(text, &m) == nil && m.Type == "released" && m.ID == "load-118" {
				record(name, "call released")
				ws.CloseNow()
				return 0
			}
			continue
		}
		record(name, "socket closed from=%s code=%d", at, websocket.CloseStatus(err))
		ws.CloseNow()
		for ws = nil; ws == nil; time.Sleep(100 * time.Millisecond) {
			for _, at = range addrs {
				if !isReady(at) {
					record(name, "not ready: %s", at)
					continue
				}
				if ws, _, err = connect(at, token); err == nil {
					record(name, "connected to=%s", at)
					break
				}
				ws = nil
			}
		}
	}
}

// sipTest makes the readiness test of the platform's front: sip-test ADDRESS NAME. The exit code is 0 if it passed within 1 s.
func sipTest(args []string) int {
	c, err := net.DialTimeout("tcp", args[0], time.Second)
	if err != nil {
		record(args[1], "test failed err=%v", err)
		return 1
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	m, err := sip.NewReader(c).Next()
	if err != nil || m.Status != http.StatusOK {
		record(args[1], "test failed err=%v", err)
		return 1
	}
	record(args[1], "test passed")
	return 0
}
