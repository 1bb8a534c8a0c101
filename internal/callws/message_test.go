package callws

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/office"
)

// Guards against answers that callers can't read: each mark of a description's markup was sent as six bytes, and a frame over
// 16 KiB closed the socket with 1009.
func TestLongAnswersFitIntoAFrame(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	for name, c := range map[string]struct {
		description []byte
		field       string // that carries it; empty: it can't be delivered
	}{
		"markup":               {bytes.Repeat([]byte("<m>1</m>\r\n"), 1100), "description"},
		"control characters":   {bytes.Repeat([]byte{1}, 12000), "description_base64"},
		"no text":              {bytes.Repeat([]byte{0xff}, 12000), "description_base64"},
		"no text and too long": {bytes.Repeat([]byte{0xff}, 13000), ""},
	} {
		f.write(ws, setup)
		f.expect("submit " + key)
		answer := exchange.FinalAnswer{Kind: exchange.Established, Description: c.description}
		if deliverable := f.CanDeliver(key, answer); deliverable != (c.field != "") {
			t.Errorf("%s: deliverable %v", name, deliverable)
		}
		if c.field == "" {
			answer = exchange.FinalAnswer{Kind: exchange.Failed}
		}
		ws.SetReadLimit(maxMessage)
		f.Answer(key, answer)
		_, frame, err := ws.Read(t.Context())
		var got reply
		if json.Unmarshal(frame, &got); err != nil || got.Type != answer.Kind.String() || !bytes.Equal(got.raw(), answer.Description) ||
			c.field != "" && !bytes.Contains(frame, []byte(`"`+c.field+`":`)) {
			t.Errorf("%s: %d bytes, %v: %.80s", name, len(frame), err, frame)
		}
		f.Release(key, false)
		if c.field != "" {
			f.read(ws, `{"type":"released","id":"c1","cut":false}`)
		}
	}
}

// Guards against the same with what an error message repeats of a request.
func TestErrorMessagesAreShort(t *testing.T) {
	f := newFixture(t, 10)
	ws := f.open()
	long := strings.Repeat("<", maxMessage/2)
	f.write(ws, `{"type":"call","id":"`+long+`"}`)
	f.read(ws, `{"type":"error","code":400,"text":"id: empty or over 128 bytes"}`)
	f.write(ws, `{"type":"call","id":"c1","number":"17","class":"`+long+`"}`)
	f.read(ws, `{"type":"error","id":"c1","code":400,"text":"unknown class \"`+long[:64]+`...\""}`)
}

// Guards against the same towards a server: it closed its connection, with all set-ups on it, over one that was too long.
func TestLongAttemptIsNotSent(t *testing.T) {
	addr, got := serveServer(t)
	peer, err := Dial(office.Fields{})(t.Context(), "ws://"+addr)
	if err != nil {
		t.Fatal(err)
	}
	go peer.Run(t.Context(), recordingHandler{make(chan string, 20)})
	ws := <-got
	ws.SetReadLimit(maxMessage)
	a := exchange.Attempt{ID: "5", Class: "open-log", Number: "17", Description: bytes.Repeat([]byte{0xff}, maxDescription), Timeout: time.Second}
	if err := peer.Invite(a); !errors.Is(err, errTooLong) {
		t.Errorf("an attempt of over 16 KiB: %v", err)
	}
	a.Description = bytes.Repeat([]byte("<>"), maxDescription/2)
	if err := peer.Invite(a); err != nil {
		t.Errorf("an attempt in markup: %v", err)
	}
	_, frame, err := ws.Read(t.Context())
	var setup serverCommand
	if json.Unmarshal(frame, &setup); err != nil || !bytes.Equal(setup.raw(), a.Description) {
		t.Errorf("the server received %d bytes, %v", len(frame), err)
	}
}
