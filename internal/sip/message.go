// Package sip frames, reads and writes SIP messages over TCP. It knows the format only: what a message means
// belongs to the callers' and the offices' sides.
package sip

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// MaxMessage is the longest message either side may send (PROTOCOL: 16 KiB).
	MaxMessage = 16 << 10
	// firstBuffer is where a read buffer starts: most messages are a few hundred bytes, and a caller's
	// connection shall not cost 16 KiB before it needs them.
	firstBuffer = 4 << 10
	// maxHeaders keeps one message from costing more in slices than in bytes.
	maxHeaders = 128
)

// Framing errors: the stream can't be read any further, so the connection has to end.
var (
	ErrTooLong       = errors.New("message over 16 KiB")
	ErrStartLine     = errors.New("unreadable first line")
	ErrHeader        = errors.New("unreadable header line")
	ErrLength        = errors.New("missing or unreadable Content-Length")
	ErrMissingHeader = errors.New("message lacks what its kind needs") // for those who handle messages
)

// Header is one header line; both parts are slices of the read buffer.
type Header struct{ Name, Value []byte }

// Message is one request or answer. All slices point into the read buffer and hold until the next Next.
type Message struct {
	Method, URI []byte // of a request
	Status      int    // of an answer; 0: a request
	Headers     []Header
	Body        []byte
	ReceivedAt  time.Time // when its last byte was read
}

// compact are the one-letter names of RFC 3261 for headers that this program looks at.
var compact = map[byte]string{'i': "Call-ID", 'l': "Content-Length", 'v': "Via", 'f': "From", 't': "To",
	's': "Subject"}

// Get gives the first header of that name, or nil.
func (m *Message) Get(name string) []byte {
	for _, h := range m.Headers {
		if h.is(name) {
			return h.Value
		}
	}
	return nil
}

func (h Header) is(name string) bool {
	if len(h.Name) == 1 {
		return compact[h.Name[0]|0x20] == name
	}
	return len(h.Name) == len(name) && bytes.EqualFold(h.Name, []byte(name))
}

// CSeq gives the number and the method of the CSeq header.
func (m *Message) CSeq() (n uint64, method []byte, ok bool) {
	num, rest, found := bytes.Cut(m.Get("CSeq"), []byte(" "))
	n, err := strconv.ParseUint(string(num), 10, 31)
	method = bytes.TrimSpace(rest)
	return n, method, found && err == nil && len(method) > 0
}

// User gives the user part of the request's address: the number called.
func (m *Message) User() []byte {
	uri := m.URI
	if k := bytes.IndexByte(uri, ':'); k >= 0 {
		uri = uri[k+1:]
	}
	if k := bytes.IndexByte(uri, '@'); k >= 0 {
		return uri[:k]
	}
	return nil
}

// Reader cuts a stream into messages.
type Reader struct {
	from       io.Reader
	buf        []byte
	start, end int
	count      uint64 // messages so far
	strict     bool   // no line ends between messages
	at         time.Time
	msg        Message
}

// NewReader reads messages from r.
func NewReader(r io.Reader) *Reader { return &Reader{from: r, buf: make([]byte, firstBuffer)} }

// Next gives the next message. The error is io.EOF where the stream ends between two messages,
// io.ErrUnexpectedEOF inside one, a framing error, or what the stream itself returned.
func (r *Reader) Next() (*Message, error) {
	for {
		r.skipBlank()
		if size, err := r.whole(); err != nil {
			return nil, err
		} else if size > 0 {
			if !r.begins(r.buf[r.start+size : r.end]) {
				return nil, ErrStartLine
			}
			r.start += size
			r.count++
			r.msg.ReceivedAt = r.at
			return &r.msg, nil
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// begins tells whether what was read behind a message can begin another. A length that does not fit cuts a
// message short or has it swallow the head of the next one; what is left behind then is no first line. Passed
// on, such a message would be one that nobody sent.
func (r *Reader) begins(rest []byte) bool {
	trimmed := bytes.TrimLeft(rest, "\r\n")
	if len(trimmed) == 0 || r.strict && len(trimmed) < len(rest) {
		return len(rest) == 0 || !r.strict
	}
	line, _, whole := bytes.Cut(trimmed, []byte("\r\n"))
	if whole {
		return new(Message).first(line) == nil
	}
	return !control(line)
}

// skipBlank drops line ends before a message: keep-alives that RFC 3261 tells to ignore.
func (r *Reader) skipBlank() {
	for r.start < r.end && (r.buf[r.start] == '\r' || r.buf[r.start] == '\n') {
		r.start++
	}
}

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.start, r.end = 0, r.end-r.start
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= MaxMessage {
			return ErrTooLong
		}
		r.buf = append(r.buf, make([]byte, min(len(r.buf), MaxMessage-len(r.buf)))...)
	}
	n, err := r.from.Read(r.buf[r.end:])
	r.end += n
	r.at = time.Now()
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) && r.end > r.start {
		return io.ErrUnexpectedEOF
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// whole parses the message at the start of the buffer; a size of 0 tells that more bytes are needed.
func (r *Reader) whole() (size int, err error) {
	data := r.buf[r.start:r.end]
	head := bytes.Index(data, []byte("\r\n\r\n"))
	if head < 0 {
		return 0, nil
	}
	m := &r.msg
	*m = Message{Headers: m.Headers[:0]}
	line, rest, _ := bytes.Cut(data[:head+2], []byte("\r\n"))
	if err := m.first(line); err != nil {
		return 0, err
	}
	if err := m.headers(rest); err != nil {
		return 0, err
	}
	length, err := m.length()
	if err != nil {
		return 0, err
	}
	size = head + 4 + length
	if size > MaxMessage {
		return 0, ErrTooLong
	}
	if size > len(data) {
		return 0, nil
	}
	m.Body = data[head+4 : size]
	return size, nil
}

func (m *Message) first(line []byte) error {
	a, rest, ok := bytes.Cut(line, []byte(" "))
	b, c, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case !ok || len(a) == 0 || len(b) == 0:
	case string(a) == "SIP/2.0":
		n, err := strconv.ParseUint(string(b), 10, 16)
		if err == nil && len(b) == 3 && n >= 100 && n < 700 && !control(c) {
			m.Status = int(n)
			return nil
		}
	case string(c) == "SIP/2.0" && token(a) && visible(b):
		m.Method, m.URI = a, b
		return nil
	}
	return ErrStartLine
}

// token tells whether a word is a method or the name of a header (RFC 3261, 25.1).
func token(word []byte) bool {
	return len(word) > 0 && bytes.IndexFunc(word, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-.!%*_+`'~", c))
	}) < 0
}

func visible(word []byte) bool {
	return bytes.IndexFunc(word, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// control tells whether a header's value holds what no text does: noise.
func control(value []byte) bool {
	return bytes.IndexFunc(value, func(c rune) bool {
		return c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f || c == utf8.RuneError
	}) >= 0
}

func (m *Message) headers(lines []byte) error {
	for len(lines) > 0 {
		end := bytes.Index(lines, []byte("\r\n"))
		// A line that starts with a blank continues the one before.
		for end+2 < len(lines) && (lines[end+2] == ' ' || lines[end+2] == '\t') {
			end += 2 + bytes.Index(lines[end+2:], []byte("\r\n"))
		}
		name, value, ok := bytes.Cut(lines[:end], []byte(":"))
		name = bytes.TrimRight(name, " \t")
		if !ok || !token(name) || control(value) || len(m.Headers) == maxHeaders {
			return ErrHeader
		}
		m.Headers = append(m.Headers, Header{name, bytes.TrimSpace(value)})
		lines = lines[end+2:]
	}
	return nil
}

// length is the Content-Length, which every message must have; two that differ leave the framing open.
func (m *Message) length() (int, error) {
	length := -1
	for _, h := range m.Headers {
		if !h.is("Content-Length") {
			continue
		}
		n, err := strconv.ParseUint(string(h.Value), 10, 31)
		if err != nil || length >= 0 && int(n) != length {
			return 0, ErrLength
		}
		length = int(n)
	}
	if length < 0 {
		return 0, ErrLength
	}
	return length, nil
}

// AppendRequest starts a request to the number at the platform's one host.
func AppendRequest(b []byte, method, number string) []byte {
	return fmt.Appendf(b, "%s sip:%s@net SIP/2.0\r\n", method, number)
}

// AppendStatus starts an answer.
func AppendStatus(b []byte, status int) []byte {
	return fmt.Appendf(b, "SIP/2.0 %d %s\r\n", status, phrase(status))
}

func phrase(status int) string {
	phrases := map[int]string{200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 408: "Request Timeout", 413: "Request Entity Too Large",
		480: "Temporarily Unavailable", 481: "Call Does Not Exist", 482: "Loop Detected", 500: "Server Error",
		503: "Service Unavailable"}
	if p, ok := phrases[status]; ok {
		return p
	}
	return "Status"
}

// Farewell is the answer to what can't be read: it belongs to no request that could be named.
func ErrorResponse(err error) []byte {
	status := 400
	switch {
	case errors.Is(err, ErrTooLong):
		status = 413
	case errors.Is(err, errStalled):
		status = 408
	}
	return AppendBody(AppendStatus(nil, status), nil)
}

// AppendHeader adds a header line. Line ends inside the value would forge further headers, so they become
// blanks.
func AppendHeader(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	for k := range len(value) {
		if value[k] == '\r' || value[k] == '\n' {
			b = append(b, ' ')
			continue
		}
		b = append(b, value[k])
	}
	return append(b, "\r\n"...)
}

// AppendBody ends the headers with the length and adds the body.
func AppendBody(b, body []byte) []byte {
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(body))
	return append(b, body...)
}

// Echo copies from a request what RFC 3261 has its answers repeat.
func EchoHeaders(m *Message) []byte {
	b := make([]byte, 0, 256)
	for _, h := range m.Headers {
		for _, name := range []string{"Via", "From", "To", "Call-ID", "CSeq"} {
			if h.is(name) {
				b = AppendHeader(b, name, string(h.Value))
			}
		}
	}
	return b
}

// Answer is a whole answer without a body.
func Response(m *Message, status int) []byte {
	return AppendBody(append(AppendStatus(nil, status), EchoHeaders(m)...), nil)
}
