package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// wsCaller is a station that speaks call control over WebSocket (docs/callws.md). It holds one socket. When that has
// closed, it connects again and sends each call again that has no final answer and whose patience is not over.
type wsCaller struct {
	name, url, token string
	pause            time.Duration // before it connects again
	mu               sync.Mutex
	calls            map[string]*wsCall
	socket           *websocket.Conn
}

// wsCall is one call of the caller.
type wsCall struct {
	message  []byte
	sentAt   time.Time
	patience time.Duration
	answers  []string
	released int
}

// run holds a socket until ctx ends.
func (c *wsCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.connect(ctx)
		time.Sleep(c.pause)
	}
}

func (c *wsCaller) connect(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	s, _, err := websocket.Dial(dialCtx, c.url, &websocket.DialOptions{Subprotocols: []string{"callcontrol.v1"},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + c.token}}})
	if err != nil {
		return
	}
	defer s.CloseNow()
	s.SetReadLimit(8 * maxMessage) // so that the size of a frame that is too long can be recorded
	record(c.name, "connected", c.url)
	c.mu.Lock()
	c.socket = s
	for id, call := range c.calls {
		if len(call.answers) == 0 && time.Since(call.sentAt) < call.patience {
			record(c.name, "sent-again", id)
			c.write(s, call.message)
		}
	}
	c.mu.Unlock()
	for {
		_, data, err := s.Read(ctx)
		if err == nil && len(data) > maxMessage {
			record(c.name, "frame-too-long", "bytes", strconv.Itoa(len(data)))
			s.Close(websocket.StatusMessageTooBig, "over 16 KiB")
			err = fmt.Errorf("a frame of %d bytes", len(data))
		}
		if err != nil {
			record(c.name, "disconnected", strings.ReplaceAll(err.Error(), "\n", " "))
			break
		}
		c.handle(data)
	}
	c.mu.Lock()
	c.socket = nil
	c.mu.Unlock()
}

func (c *wsCaller) handle(data []byte) {
	var m struct{ Type, ID string }
	json.Unmarshal(data, &m)
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.name, m.Type, m.ID, "bytes", strconv.Itoa(len(data)))
	call := c.calls[m.ID]
	switch {
	case call == nil:
	case m.Type == "released":
		call.released++
	default:
		call.answers = append(call.answers, m.Type)
	}
}

func (c *wsCaller) write(s *websocket.Conn, message []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.Write(ctx, websocket.MessageText, message)
}

// setUp sends a set-up.
func (c *wsCaller) setUp(id, description string, patience time.Duration, dest int) {
	message, _ := json.Marshal(map[string]any{"type": "call", "id": id, "class": "open-log", "tenant": "slaney-vines", "number": "7f3a9c21e0b4d655",
		"patience_ms": patience.Milliseconds(), "first_choice": dest, "description": description})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id] = &wsCall{message: message, sentAt: time.Now(), patience: patience}
	record(c.name, "call", id, "bytes", strconv.Itoa(len(message)))
	if c.socket != nil {
		c.write(c.socket, message)
	}
}

// runLargeAnswers sets calls up whose offices answer with so many marks of markup, and some small ones beside them on the
// same socket, and checks that each gets one final answer before its patience is over.
func runLargeAnswers(url, token string, marks int) {
	const patience = 3 * time.Second
	c := &wsCaller{name: "station-7", url: url, token: token, pause: 100 * time.Millisecond, calls: map[string]*wsCall{}}
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	time.Sleep(500 * time.Millisecond)
	for k := range 5 {
		c.setUp(fmt.Sprintf("small-%d", k), "delay=100 length=3000\r\n", patience, k%2)
		time.Sleep(300 * time.Millisecond)
	}
	c.setUp("load-118", fmt.Sprintf("delay=200 length=6000 marks=%d\r\n", marks), patience, 0)
	time.Sleep(patience + time.Second)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := 0
	for id, call := range c.calls {
		answers := 0
		for _, kind := range call.answers {
			if kind == "stands" || kind == "refused" || kind == "failed" {
				answers++
			}
		}
		if answers == 0 {
			broken++
			fmt.Printf("call %s has no final answer after %v; its patience was %v\n", id, time.Since(call.sentAt).Round(time.Millisecond), call.patience)
		}
	}
	fmt.Printf("%d calls, %d without a final answer\n", len(c.calls), broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// tryToken tries to open a caller's socket and prints the status of the answer: 101 or 401.
func tryToken(url, token string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s, r, err := websocket.Dial(ctx, url, &websocket.DialOptions{Subprotocols: []string{"callcontrol.v1"},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	if r == nil {
		fatal(err)
	}
	if err == nil {
		s.Close(websocket.StatusNormalClosure, "")
	}
	fmt.Println(r.StatusCode)
}
