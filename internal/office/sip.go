package office

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/sip"
)

const (
	// writeTimeout bounds a write to an office. Together with the connect timeout it stays well within the second in which
	// a draining office may still receive an attempt.
	writeTimeout = 300 * time.Millisecond
	// messageTimeout is how long an answer may take from its first byte to its last: many times the network delay, and
	// short compared with the time within which a call is to be established.
	messageTimeout = 300 * time.Millisecond
)

// Fields are the names of the values of a load report, in the order of the settings' fields.
type Fields []string

// aliases maps the names that offices send to the names in the settings.
var aliases = map[string]string{"x0": "spare", "x1": "total", "util": "cpu", "queue": "waiting",
	"latency_ms": "avg_ms", "qps": "allowed", "eps": "cut_by", "inflight": "active"}

// Parse parses a report such as x0:12;x1:40. A value that is absent or no number is -1. The result is nil if the report
// has no known value.
func (f Fields) Parse(text []byte) []float64 {
	var report []float64
	for _, part := range strings.Split(string(text), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			continue
		}
		report = f.Set(report, name, x)
	}
	return report
}

// Set stores one value in a report, which is created if nil, and returns the report. Unknown names are ignored.
func (f Fields) Set(report []float64, name string, x float64) []float64 {
	for k, field := range f {
		if name != field && aliases[name] != field {
			continue
		}
		if report == nil {
			report = make([]float64, len(f))
			for j := range report {
				report[j] = -1
			}
		}
		report[k] = x
	}
	return report
}

// noteNumbers maps the words of the X-Note header to the numbers of the control module.
var noteNumbers = map[string]int{"all_trunks_busy": 1, "via_said_no": 2, "cpu_full": 3, "number_busy": 4,
	"far_cpu_full": 18}

// NoteNumber returns the control module's number for a note; 0 for none or an unknown one.
func NoteNumber(word string) int { return noteNumbers[word] }

// DialSIP connects to offices that use SIP. name is this instance's name in the Via header.
func DialSIP(name string, fields Fields) Dial {
	return func(ctx context.Context, addr string) (Peer, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &sipPeer{Conn: sip.NewConn(c, limits), name: name, fields: fields}, nil
	}
}

// limits bound a connection to an office. An answer that is truncated, or has a Content-Length greater than what was
// sent, blocks all answers behind it, so such a connection is ended. Offices write each message in one piece.
var limits = sip.Limits{WriteTimeout: writeTimeout, MessageTimeout: func() time.Duration { return messageTimeout }, Strict: true}

type sipPeer struct {
	*sip.Conn
	name   string
	fields Fields
}

// request starts a request of attempt n, without its Content-Length and body.
func (p *sipPeer) request(method, number, id string, n int) []byte {
	b := make([]byte, 0, 512)
	b = sip.AppendRequest(b, method, number)
	b = fmt.Appendf(b, "Via: SIP/2.0/TCP %s;branch=z9hG4bK%s.%d\r\n", p.name, id, n)
	b = sip.AppendHeader(b, "Call-ID", id)
	return fmt.Appendf(b, "CSeq: %d %s\r\n", n+1, method)
}

// Invite implements Peer.
func (p *sipPeer) Invite(a exchange.Attempt) error {
	b := p.request("INVITE", a.Number, a.ID, a.Index)
	b = sip.AppendHeader(b, "Subject", a.Class)
	b = fmt.Appendf(b, "X-Patience: %d\r\n", max(a.Timeout.Milliseconds(), 1))
	b = sip.AppendBody(b, a.Description)
	if len(b) > sip.MaxMessage {
		return sip.ErrTooLong
	}
	p.Send(b)
	return nil
}

// Cancel implements Peer.
func (p *sipPeer) Cancel(id string, n int) {
	p.Send(sip.AppendBody(p.request("CANCEL", id, id, n), nil))
}

// Bye implements Peer.
func (p *sipPeer) Bye(id string, n int, cut bool) {
	b := p.request("BYE", id, id, n+1)
	p.Send(sip.AppendBody(sip.AppendHeader(b, "Reason", ReasonHeader(cut)), nil))
}

// ReasonHeader is the value of the Reason header of a release: cause 16 is the regular end of a call, 41 an early one.
func ReasonHeader(cut bool) string {
	if cut {
		return "Q.850;cause=41"
	}
	return "Q.850;cause=16"
}

// Run implements Peer.
func (p *sipPeer) Run(ctx context.Context, h Handler) (sip.Reason, error) {
	return p.Conn.Run(ctx, func(m *sip.Message) error { return p.handle(m, h) })
}

var errNoTransaction = fmt.Errorf("%w: answer without Call-ID or CSeq", sip.ErrMissingHeader)

// handle handles one message of an office. It copies strings and descriptions that are used beyond the lifetime of the
// read buffer.
func (p *sipPeer) handle(m *sip.Message, h Handler) error {
	id := string(m.Get("Call-ID"))
	if m.Status == 0 {
		switch string(m.Method) {
		case "NOTIFY":
			h.State(p.fields.Parse(m.Get("X-State")))
		case "BYE":
			p.Send(sip.Response(m, 200))
			h.Released(id, !bytes.Contains(m.Get("Reason"), []byte("cause=16")), p.fields.Parse(m.Get("X-State")))
		case "OPTIONS":
			p.Send(sip.Response(m, 200))
		case "ACK", "CANCEL":
		default:
			p.Send(sip.Response(m, 405))
		}
		return nil
	}
	seq, method, ok := m.CSeq()
	if !ok || id == "" {
		return errNoTransaction
	}
	if string(method) != "INVITE" || m.Status < 200 || seq == 0 {
		return nil
	}
	n := int(seq) - 1
	p.Send(sip.AppendBody(p.request("ACK", id, id, n), nil))
	if m.Status < 300 {
		h.Accepted(id, bytes.Clone(m.Body))
		return nil
	}
	h.Ended(id, p.refusal(m))
	return nil
}

// refusal maps a response of status 300 or more to the result of the attempt.
func (p *sipPeer) refusal(m *sip.Message) exchange.Result {
	result := exchange.Result{Outcome: control.Errored, Note: NoteNumber(string(m.Get("X-Note"))),
		Report: p.fields.Parse(m.Get("X-State"))}
	switch m.Status {
	case 503:
		result.Outcome = control.Saturated
	case 480:
		result.Outcome = control.Unavailable
	case 504:
		result.Outcome = control.ConnectionLost
	}
	if ms, err := strconv.ParseInt(string(m.Get("X-Delay")), 10, 32); err == nil && ms > 0 {
		result.WaitMS = ms
	}
	return result
}
