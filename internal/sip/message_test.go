package sip

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"masthill/internal/netcase"
)

const invite = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\n" +
	"CSeq: 1 INVITE\r\nSubject: voice\r\nX-Patience: 1500\r\nContent-Length: 5\r\n\r\na\r\n\r\n"

const answer = "SIP/2.0 503 Busy now\r\nv: SIP/2.0/TCP peer\r\ni: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n" +
	"X-Folded: one\r\n two\r\nl: 0\r\n\r\n"

func readAll(r io.Reader) (got []Message, err error) {
	reader := NewReader(r)
	for {
		m, err := reader.Next()
		if err != nil {
			return got, err
		}
		c := *m
		c.Body, c.Headers = bytes.Clone(m.Body), nil
		c.URI = bytes.Clone(m.Get("Call-ID"))
		got = append(got, c)
	}
}

// A message with a wrong Content-Length must not be returned, as its body is not what was sent.
func TestWrongContentLength(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		strict, ok bool
	}{
		{"fits", "SIP/2.0 200 OK\r\nl: 4\r\n\r\nlog.SIP/2.0 200 OK\r\n", true, true},
		{"the next has only begun", "SIP/2.0 200 OK\r\nl: 4\r\n\r\nlog.SIP/2.0 20", true, true},
		{"too short", "SIP/2.0 200 OK\r\nl: 2\r\n\r\nlog.SIP/2.0 200 OK\r\n", true, false},
		{"too long", "SIP/2.0 200 OK\r\nl: 9\r\n\r\nlog.SIP/2.0 200 OK\r\n", true, false},
		{"short by a line end", "SIP/2.0 200 OK\r\nl: 4\r\n\r\nlog.\r\nSIP/2.0 200 OK\r\n", true, false},
		{"short by the last line end", "SIP/2.0 200 OK\r\nl: 4\r\n\r\nlog.\r\n", true, false},
		{"a line end between", "SIP/2.0 200 OK\r\nl: 4\r\n\r\nlog.\r\n\r\nSIP/2.0 200 OK\r\n", false, true},
		{"noise in a header", "SIP/2.0 200 OK\r\nVia: \x01\r\nl: 4\r\n\r\nlog.", false, false},
	} {
		r := NewReader(strings.NewReader(tc.text))
		r.strict = tc.strict
		if m, err := r.Next(); (err == nil) != tc.ok || tc.ok && string(m.Body) != "log." {
			t.Errorf("%s: %+v, %v", tc.name, m, err)
		}
	}
}

func TestValidMessagesInAnySplit(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "n")
		got, err := readAll(netcase.RandomReader(t, []byte(strings.Repeat(invite+"\r\n"+answer, n))))
		if err != io.EOF || len(got) != 2*n {
			t.Fatalf("%d messages of %d, then %v", len(got), 2*n, err)
		}
		for k, m := range got {
			if string(m.URI) != "9b1f03aa5c7e2d41" || k%2 == 0 && string(m.Body) != "a\r\n\r\n" || k%2 == 1 && m.Status != 503 {
				t.Fatalf("message %d: %+v", k, m)
			}
		}
	})
}

// Garbage must result in an error or in messages, and never in a panic or an endless loop.
func TestGarbage(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		data := netcase.Garbage(t, []byte(invite+answer))
		if got, err := readAll(netcase.RandomReader(t, data)); err == nil || len(got) > len(data)/20 {
			t.Fatalf("%d messages from %d bytes, error %v", len(got), len(data), err)
		}
	})
}

func TestFramingErrors(t *testing.T) {
	long := strings.Repeat("x", MaxMessage)
	for _, tc := range []struct {
		in   string
		want error
	}{
		{"", io.EOF},
		{"\r\n\r\n", io.EOF},
		{invite[:40], io.ErrUnexpectedEOF},
		{"HELLO\r\nContent-Length: 0\r\n\r\n", ErrStartLine},
		{"SIP/2.0 99 X\r\nContent-Length: 0\r\n\r\n", ErrStartLine},
		{"SIP/2.0 +20 X\r\nContent-Length: 0\r\n\r\n", ErrStartLine},
		{"BYE sip:1@net SIP/2.0\r\n\r\n", ErrLength},
		{"BYE sip:1@net SIP/2.0\r\nContent-Length: -1\r\n\r\n", ErrLength},
		{"BYE sip:1@net SIP/2.0\r\nContent-Length: 1\r\nl: 2\r\n\r\nab", ErrLength},
		{"BYE sip:1@net SIP/2.0\r\nContent-Length: 99999\r\n\r\n", ErrTooLong},
		{"BYE sip:1@net SIP/2.0\r\nno colon\r\nContent-Length: 0\r\n\r\n", ErrHeader},
		{"BYE sip:1@net SIP/2.0\r\nX: " + long, ErrTooLong},
	} {
		if got, err := readAll(strings.NewReader(tc.in)); !errors.Is(err, tc.want) || len(got) != 0 {
			t.Errorf("%.40q: %d messages, error %v, want %v", tc.in, len(got), err, tc.want)
		}
	}
}

func TestWrittenMessagesAreReadable(t *testing.T) {
	b := AppendHeader(AppendRequest(nil, "BYE", "17"), "Reason", "a\r\nX-Forged: 1")
	got, err := readAll(bytes.NewReader(AppendBody(b, []byte("body"))))
	if err != io.EOF || len(got) != 1 || string(got[0].Body) != "body" {
		t.Fatalf("%+v, %v", got, err)
	}
	r := NewReader(strings.NewReader(invite))
	m, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	if n, method, ok := m.CSeq(); n != 1 || string(method) != "INVITE" || !ok || string(m.User()) != "7f3a9c21e0b4d655" {
		t.Errorf("CSeq %d %s %v, number %s", n, method, ok, m.User())
	}
	want := "SIP/2.0 400 Bad Request\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n" +
		"Content-Length: 0\r\n\r\n"
	if got := string(Response(m, 400)); got != want {
		t.Errorf("response %q", got)
	}
}

// Guards against responses over 16 KiB to a request that is shorter, as names of headers are written out.
func TestResponsesAreBounded(t *testing.T) {
	var lines strings.Builder
	for range maxHeaders - 1 {
		lines.WriteString("i:" + strings.Repeat("x", 120) + "\r\n")
	}
	text := "BYE sip:1@net SIP/2.0\r\n" + lines.String() + "l:0\r\n\r\n"
	m, err := NewReader(strings.NewReader(text)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if n := len(Response(m, 481)); n > MaxMessage {
		t.Errorf("%d bytes in response to %d", n, len(text))
	}
}
