package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxMessage is the greatest size of a message (PROTOCOL, Messages).
const maxMessage = 16 << 10

// message is one SIP message. A status of 0 means a request.
type message struct {
	method string
	status int
	header map[string]string // names in lower case
	body   string
}

func (m *message) id() string { return m.header["call-id"] }

// answersTo is the method that a response belongs to.
func (m *message) answersTo() string {
	_, method, _ := strings.Cut(m.header["cseq"], " ")
	return method
}

// sipConn is a connection that speaks the platform's SIP. Writes may come from any goroutine.
type sipConn struct {
	net.Conn
	in *bufio.Reader
	mu sync.Mutex
}

func newSIPConn(c net.Conn) *sipConn {
	return &sipConn{Conn: c, in: bufio.NewReaderSize(c, maxMessage)}
}

// send writes one message: the first line, headers without Content-Length, and the body.
func (c *sipConn) send(first string, headers []string, body string) error {
	text := first + "\r\n" + strings.Join(headers, "\r\n")
	if len(headers) > 0 {
		text += "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if len(text) > maxMessage {
		return fmt.Errorf("message of %d bytes", len(text))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Write([]byte(text))
	return err
}

// respond answers a request.
func (c *sipConn) respond(m *message, status int, headers []string, body string) error {
	all := append([]string{"Via: " + m.header["via"], "Call-ID: " + m.id(), "CSeq: " + m.header["cseq"]}, headers...)
	return c.send(fmt.Sprintf("SIP/2.0 %d X", status), all, body)
}

// read reads one message.
func (c *sipConn) read() (*message, error) {
	m := &message{header: map[string]string{}}
	for first := true; ; {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case first && line == "":
			continue
		case first:
			words := strings.Fields(line)
			if len(words) < 2 {
				return nil, fmt.Errorf("first line %q", line)
			}
			if words[0] == "SIP/2.0" {
				m.status, _ = strconv.Atoi(words[1])
			} else {
				m.method = words[0]
			}
			first = false
			continue
		case line == "":
			n, err := strconv.Atoi(m.header["content-length"])
			if err != nil || n < 0 || n > maxMessage {
				return nil, fmt.Errorf("content length %q", m.header["content-length"])
			}
			body := make([]byte, n)
			if _, err := io.ReadFull(c.in, body); err != nil {
				return nil, err
			}
			m.body = string(body)
			return m, nil
		}
		name, value, _ := strings.Cut(line, ":")
		m.header[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
	}
}
