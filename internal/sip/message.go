// Package sip reads and writes SIP messages over TCP. It handles framing and syntax only; the packages for callers and
// offices interpret the messages.
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
	// MaxMessage is the greatest size of a message from either side (PROTOCOL: 16 KiB).
	MaxMessage = 16 << 10
	// initialBuffer is the initial size of a read buffer. Most messages are a few hundred bytes, and a caller's connection
	// should not cost 16 KiB before it needs them.
	initialBuffer = 4 << 10
	// maxHeaders bounds the headers of a message, so that their slices cost no more memory than its bytes.
	maxHeaders = 128
)

// Framing errors: the stream can't be read any further, so the connection must end.
var (
	ErrTooLong       = errors.New("message over 16 KiB")
	ErrStartLine     = errors.New("malformed start line")
	ErrHeader        = errors.New("malformed header line")
	ErrLength        = errors.New("missing or malformed Content-Length")
	ErrMissingHeader = errors.New("required header missing") // returned by message handlers
)

// Header is a header field; both parts are slices of the read buffer.
type Header struct{ Name, Value []byte }

// Message is a request or a response. All slices point into the read buffer and are valid until the next call of Next.
type Message struct {
	Method, URI []byte // of a request
	Status      int    // of a response; 0: a request
	Headers     []Header
	Body        []byte
	ReceivedAt  time.Time // when its last byte was read
}

// compactNames are the one-letter forms (RFC 3261) of headers that this program reads.
var compactNames = map[byte]string{'i': "Call-ID", 'l': "Content-Length", 'v': "Via", 'f': "From", 't': "To",
	's': "Subject"}

// Get returns the value of the first header of that name, or nil.
func (m *Message) Get(name string) []byte {
	for _, h := range m.Headers {
		if h.hasName(name) {
			return h.Value
		}
	}
	return nil
}

func (h Header) hasName(name string) bool {
	if len(h.Name) == 1 {
		return compactNames[h.Name[0]|0x20] == name
	}
	return len(h.Name) == len(name) && bytes.EqualFold(h.Name, []byte(name))
}

// CSeq returns the number and the method of the CSeq header.
func (m *Message) CSeq() (n uint64, method []byte, ok bool) {
	num, rest, found := bytes.Cut(m.Get("CSeq"), []byte(" "))
	n, err := strconv.ParseUint(string(num), 10, 31)
	method = bytes.TrimSpace(rest)
	return n, method, found && err == nil && len(method) > 0
}

// User returns the user part of the request URI, which is the number called.
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

// Reader splits a stream into messages.
type Reader struct {
	source       io.Reader
	buf          []byte
	start, end   int
	messageCount uint64 // messages read
	strict       bool   // line ends between messages are an error
	lastReadAt   time.Time
	msg          Message
}

// NewReader creates a Reader that reads messages from r.
func NewReader(r io.Reader) *Reader { return &Reader{source: r, buf: make([]byte, initialBuffer)} }

// Next returns the next message. The error is io.EOF if the stream ends between two messages, io.ErrUnexpectedEOF if it
// ends within one, a framing error, or the error of the stream.
func (r *Reader) Next() (*Message, error) {
	for {
		r.skipBlank()
		if size, err := r.parse(); err != nil {
			return nil, err
		} else if size > 0 {
			if !r.startsMessage(r.buf[r.start+size : r.end]) {
				return nil, ErrStartLine
			}
			r.start += size
			r.messageCount++
			r.msg.ReceivedAt = r.lastReadAt
			return &r.msg, nil
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// startsMessage tells whether what was read behind a message can be the start of another one. A wrong Content-Length
// truncates the message or makes it include the head of the next one, and what follows is then no start line. Such a
// message must not be returned, as nobody sent it.
func (r *Reader) startsMessage(rest []byte) bool {
	trimmed := bytes.TrimLeft(rest, "\r\n")
	if len(trimmed) == 0 || r.strict && len(trimmed) < len(rest) {
		return len(rest) == 0 || !r.strict
	}
	line, _, complete := bytes.Cut(trimmed, []byte("\r\n"))
	if complete {
		return new(Message).parseFirstLine(line) == nil
	}
	return !hasControlChars(line)
}

// skipBlank skips line ends before a message: keep-alives, which RFC 3261 requires to be ignored.
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
	n, err := r.source.Read(r.buf[r.end:])
	r.end += n
	r.lastReadAt = time.Now()
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

// parse parses the message at the start of the buffer; a size of 0 means that more bytes are needed.
func (r *Reader) parse() (size int, err error) {
	data := r.buf[r.start:r.end]
	head := bytes.Index(data, []byte("\r\n\r\n"))
	if head < 0 {
		return 0, nil
	}
	m := &r.msg
	*m = Message{Headers: m.Headers[:0]}
	line, rest, _ := bytes.Cut(data[:head+2], []byte("\r\n"))
	if err := m.parseFirstLine(line); err != nil {
		return 0, err
	}
	if err := m.parseHeaders(rest); err != nil {
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

func (m *Message) parseFirstLine(line []byte) error {
	a, rest, ok := bytes.Cut(line, []byte(" "))
	b, c, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case !ok || len(a) == 0 || len(b) == 0:
	case string(a) == "SIP/2.0":
		n, err := strconv.ParseUint(string(b), 10, 16)
		if err == nil && len(b) == 3 && n >= 100 && n < 700 && !hasControlChars(c) {
			m.Status = int(n)
			return nil
		}
	case string(c) == "SIP/2.0" && isToken(a) && isPrintable(b):
		m.Method, m.URI = a, b
		return nil
	}
	return ErrStartLine
}

// isToken tells whether a word is a valid method or header name (token in RFC 3261, 25.1).
func isToken(word []byte) bool {
	return len(word) > 0 && bytes.IndexFunc(word, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-.!%*_+`'~", c))
	}) < 0
}

func isPrintable(word []byte) bool {
	return bytes.IndexFunc(word, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// hasControlChars tells whether a value has control characters or invalid UTF-8, which no text has.
func hasControlChars(value []byte) bool {
	return bytes.IndexFunc(value, func(c rune) bool {
		return c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f || c == utf8.RuneError
	}) >= 0
}

func (m *Message) parseHeaders(lines []byte) error {
	for len(lines) > 0 {
		end := bytes.Index(lines, []byte("\r\n"))
		// A line that starts with a space or tab continues the previous one.
		for end+2 < len(lines) && (lines[end+2] == ' ' || lines[end+2] == '\t') {
			end += 2 + bytes.Index(lines[end+2:], []byte("\r\n"))
		}
		name, value, ok := bytes.Cut(lines[:end], []byte(":"))
		name = bytes.TrimRight(name, " \t")
		if !ok || !isToken(name) || hasControlChars(value) || len(m.Headers) == maxHeaders {
			return ErrHeader
		}
		m.Headers = append(m.Headers, Header{name, bytes.TrimSpace(value)})
		lines = lines[end+2:]
	}
	return nil
}

// length returns the Content-Length. Every message must have one, and two that differ are an error, as the framing
// would be ambiguous.
func (m *Message) length() (int, error) {
	length := -1
	for _, h := range m.Headers {
		if !h.hasName("Content-Length") {
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

// AppendRequest appends the start line of a request to a number. The platform has a single host.
func AppendRequest(b []byte, method, number string) []byte {
	return fmt.Appendf(b, "%s sip:%s@net SIP/2.0\r\n", method, number)
}

// AppendStatus appends the start line of a response.
func AppendStatus(b []byte, status int) []byte {
	return fmt.Appendf(b, "SIP/2.0 %d %s\r\n", status, reasonPhrase(status))
}

func reasonPhrase(status int) string {
	phrases := map[int]string{200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 408: "Request Timeout", 413: "Request Entity Too Large",
		480: "Temporarily Unavailable", 481: "Call Does Not Exist", 482: "Loop Detected", 500: "Server Error",
		503: "Service Unavailable"}
	if p, ok := phrases[status]; ok {
		return p
	}
	return "Status"
}

// ErrorResponse returns the response to input that can't be read. It has no headers that identify a request, as none is
// known.
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

// AppendHeader appends a header line. Line ends in the value are replaced by spaces, as they would allow further
// headers to be forged.
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

// AppendBody appends the Content-Length, the end of the headers and the body.
func AppendBody(b, body []byte) []byte {
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(body))
	return append(b, body...)
}

// EchoHeaders returns the headers of a request that RFC 3261 requires its responses to repeat.
func EchoHeaders(m *Message) []byte {
	b := make([]byte, 0, 256)
	for _, h := range m.Headers {
		for _, name := range []string{"Via", "From", "To", "Call-ID", "CSeq"} {
			if h.hasName(name) {
				b = AppendHeader(b, name, string(h.Value))
			}
		}
	}
	return b
}

// Response returns a complete response without a body. It repeats no headers of a request if these would make it exceed
// MaxMessage, as short forms of their names are written out.
func Response(m *Message, status int) []byte {
	b := AppendBody(append(AppendStatus(nil, status), EchoHeaders(m)...), nil)
	if len(b) > MaxMessage {
		return AppendBody(AppendStatus(nil, status), nil)
	}
	return b
}
