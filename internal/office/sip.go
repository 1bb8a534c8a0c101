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
	// writeFor is the deadline of a write to an office: with the connect time it stays well inside the second
	// in which a draining office may still get an attempt.
	writeFor = 300 * time.Millisecond
	// wholeFor is how long an answer may take from its first byte to its last: many times what the network takes,
	// and short against the time in which a call wants to stand.
	wholeFor = 300 * time.Millisecond
)

// Fields reads load reports: the names that an office uses, in the order of the settings' fields.
type Fields []string

// aliases are the names on the platform's sockets for what the settings name.
var aliases = map[string]string{"x0": "spare", "x1": "total", "util": "cpu", "queue": "waiting",
	"latency_ms": "avg_ms", "qps": "allowed", "eps": "cut_by", "inflight": "active"}

// Parse reads a report such as x0:12;x1:40. What is absent or no number is -1; without anything known it is
// nil.
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

// Set puts one value in its place in a report, which it makes if need be; unknown names are left out.
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

// notes are the words of X-Note, by the module's numbers.
var notes = map[string]int{"all_trunks_busy": 1, "via_said_no": 2, "cpu_full": 3, "number_busy": 4,
	"far_cpu_full": 18}

// Note gives the module's number of a note; 0 for none or an unknown one.
func Note(word string) int { return notes[word] }

// SIP connects to offices that speak the platform's protocol.
func DialSIP(name string, fields Fields) Dial {
	return func(ctx context.Context, addr string) (Peer, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &sipPeer{Conn: sip.NewConn(c, limits), name: name, fields: fields}, nil
	}
}

// limits are what an office is allowed. An answer that stops short, or whose length promises more than comes,
// holds up all answers behind it: such a connection is of no more use. Offices write a message whole.
var limits = sip.Limits{Write: writeFor, MessageTimeout: func() time.Duration { return wholeFor }, Strict: true}

type sipPeer struct {
	*sip.Conn
	name   string
	fields Fields
}

func (p *sipPeer) request(method, number, id string, n int) []byte {
	b := make([]byte, 0, 512)
	b = sip.AppendRequest(b, method, number)
	b = fmt.Appendf(b, "Via: SIP/2.0/TCP %s;branch=z9hG4bK%s.%d\r\n", p.name, id, n)
	b = sip.AppendHeader(b, "Call-ID", id)
	return fmt.Appendf(b, "CSeq: %d %s\r\n", n+1, method)
}

func (p *sipPeer) Invite(a exchange.Attempt) {
	b := p.request("INVITE", a.Number, a.ID, a.Index)
	b = sip.AppendHeader(b, "Subject", a.Class)
	b = fmt.Appendf(b, "X-Patience: %d\r\n", max(a.Wait.Milliseconds(), 1))
	p.Send(sip.AppendBody(b, a.Description))
}

func (p *sipPeer) Cancel(id string, n int) {
	p.Send(sip.AppendBody(p.request("CANCEL", id, id, n), nil))
}

func (p *sipPeer) Bye(id string, n int, cut bool) {
	b := p.request("BYE", id, id, n+1)
	p.Send(sip.AppendBody(sip.AppendHeader(b, "Reason", ReasonHeader(cut)), nil))
}

// Reason is the header of a release: cause 16 is the regular end, 41 a cut.
func ReasonHeader(cut bool) string {
	if cut {
		return "Q.850;cause=41"
	}
	return "Q.850;cause=16"
}

func (p *sipPeer) Run(ctx context.Context, h Handler) (sip.Reason, error) {
	return p.Conn.Run(ctx, func(m *sip.Message) error { return p.take(m, h) })
}

var errNoCall = fmt.Errorf("%w: an answer without Call-ID or CSeq", sip.ErrMissingHeader)

// take handles one message of an office. Strings and descriptions that outlive the read buffer are copied.
func (p *sipPeer) take(m *sip.Message, h Handler) error {
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
		return errNoCall
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
	h.Ended(id, p.ending(m))
	return nil
}

// ending maps a refusal to an outcome.
func (p *sipPeer) ending(m *sip.Message) exchange.Result {
	e := exchange.Result{Outcome: control.Errored, Note: Note(string(m.Get("X-Note"))),
		Report: p.fields.Parse(m.Get("X-State"))}
	switch m.Status {
	case 503:
		e.Outcome = control.Saturated
	case 480:
		e.Outcome = control.Unavailable
	case 504:
		e.Outcome = control.ConnectionLost
	}
	if ms, err := strconv.ParseInt(string(m.Get("X-Delay")), 10, 32); err == nil && ms > 0 {
		e.WaitMS = ms
	}
	return e
}
