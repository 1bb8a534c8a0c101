// Package wire implements the simulator's line protocol: it decodes batches of events, passes them to one controller for
// each instance and encodes the controllers' actions. It only translates; all decisions are the controllers'.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"masthill/control"
)

// host holds the controllers of all instances and the reply that is being built.
type host struct {
	controllers map[string]*control.Controller
	lists       map[int64][]control.Entry
	out         []byte
	hasActions  bool
}

// Serve reads batches of events from r, one a line, and writes a reply to each to w, until r ends.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{controllers: map[string]*control.Controller{}, lists: map[int64][]control.Entry{}}
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", n, err)
		}
		if len(trim(line)) == 0 {
			if err != nil {
				return nil
			}
			return fmt.Errorf("batch %d: empty line", n)
		}
		if e := h.batch(line); e != nil {
			return fmt.Errorf("batch %d: %w", n, e)
		}
		if _, e := out.Write(h.out); e != nil {
			return fmt.Errorf("writing reply %d: %w", n, e)
		}
		if e := out.Flush(); e != nil {
			return fmt.Errorf("writing reply %d: %w", n, e)
		}
	}
}

// trim removes trailing line ends and spaces.
func trim(b []byte) []byte {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r' || b[len(b)-1] == ' ') {
		b = b[:len(b)-1]
	}
	return b
}

// batch handles one batch and leaves the reply in h.out.
func (h *host) batch(line []byte) error {
	var b struct {
		Now      *int64               `json:"ts_ns"`
		Happened *[][]json.RawMessage `json:"happened"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return fmt.Errorf("decoding: %w", err)
	}
	if b.Now == nil || b.Happened == nil {
		return errors.New("ts_ns or happened is missing")
	}
	h.out, h.hasActions = append(h.out[:0], `{"output":[`...), false
	for k, raw := range *b.Happened {
		if err := h.event(*b.Now, raw); err != nil {
			return fmt.Errorf("event %d: %w", k, err)
		}
	}
	h.out = append(h.out, "]}\n"...)
	return nil
}

// event handles one event: it starts or removes a controller, stores a list, or passes the event to its controller.
func (h *host) event(now int64, raw []json.RawMessage) error {
	f := fields{values: raw}
	name := f.text("name")
	if f.err != nil {
		return f.err
	}
	if name == "list" {
		slot, recs := f.integer("slot"), f.rows("records")
		entries, err := decodeEntries(recs)
		if err = errors.Join(f.err, err); err != nil {
			return fmt.Errorf("list: %w", err)
		}
		h.lists[slot] = entries
		return nil
	}
	id := f.text("i")
	if f.err != nil {
		return fmt.Errorf("%s: %w", name, f.err)
	}
	switch name {
	case "up":
		seed, params := f.integer("entropy"), f.next("params")
		if f.err != nil {
			return fmt.Errorf("up of %s: %w", id, f.err)
		}
		s, err := DecodeSettings(params)
		if err != nil {
			return fmt.Errorf("settings of %s: %w", id, err)
		}
		c, err := control.New(s, uint64(seed))
		if err != nil {
			return fmt.Errorf("starting %s: %w", id, err)
		}
		h.controllers[id] = c
		return nil
	case "power_off":
		if h.controllers[id] == nil {
			return fmt.Errorf("power_off: instance %q was never started", id)
		}
		delete(h.controllers, id)
		return nil
	}
	ev, skip, err := h.decode(name, &f)
	if err = errors.Join(f.err, err); err != nil {
		return fmt.Errorf("%s for %s: %w", name, id, err)
	}
	c := h.controllers[id]
	if c == nil {
		return fmt.Errorf("%s: instance %q was never started", name, id)
	}
	if skip {
		return nil
	}
	for _, a := range c.Handle(now, ev) {
		h.encode(id, a)
	}
	return nil
}

// decode converts an event for a controller; skip is set for events that the controllers don't use.
func (h *host) decode(name string, f *fields) (ev control.Event, skip bool, err error) {
	switch name {
	case "endpoints":
		scope := f.text("scope")
		f.integer("rev")
		slot := f.integer("slot")
		ev.Kind = control.ListUpdate
		switch scope {
		case "error":
			ev.Kind = control.ListError
			return ev, false, nil
		case "snapshot", "disk":
			ev.FullList = true
		case "diff":
		default:
			return ev, false, fmt.Errorf("unknown scope %q", scope)
		}
		entries, ok := h.lists[slot]
		if !ok && f.err == nil {
			return ev, false, fmt.Errorf("list %d is unknown", slot)
		}
		ev.Entries = entries
	case "arrival":
		ev.Kind = control.Arrival
		ev.Call, ev.Class = f.text("txn"), int(f.integer("class"))
		f.next("customer")
		ev.Key, ev.NotAfter = f.optText("target_key"), f.integer("not_after_ns")
		f.next("size_hint_ns")
		ev.FirstChoice = int(f.number("far_end"))
		f.next("channels")
		f.next("via")
		ev.Redialed = f.boolean("resent")
		f.next("update")
		ev.InTransit = f.boolean("in_transit")
	case "aborted":
		ev.Kind, ev.Call = control.Aborted, f.text("txn")
	case "head_received":
		ev.Kind, ev.Call = control.Established, f.text("txn")
		ev.Elapsed, ev.Server = f.integer("cost_time_ns"), uint64(f.integer("server"))
	case "probed":
		ev.Kind = control.LoadReport
		ev.Outcome = f.outcome()
		ev.Server, ev.Elapsed = uint64(f.integer("server")), f.integer("cost_time_ns")
		ev.Report = f.loadReport()
	case "mail":
		return ev, true, nil
	case "returned":
		ev.Kind, ev.Call = control.AttemptEnded, f.text("txn")
		f.integer("go")
		ev.Server, ev.Outcome = uint64(f.integer("server")), f.outcome()
		ev.Elapsed, ev.CallEnded = f.integer("cost_time_ns"), f.boolean("ended")
		note := f.integer("note")
		ev.Note, ev.WaitMS = int(note%16), note/16
		ev.Report = f.loadReport()
	case "ring":
		ev.Kind, ev.Tag = control.TimerFired, uint64(f.integer("tag"))
	default:
		return ev, false, errors.New("unknown event")
	}
	return ev, false, nil
}

// encode appends an action of a controller to the reply.
func (h *host) encode(id string, a control.Action) {
	if h.hasActions {
		h.out = append(h.out, ',')
	}
	h.hasActions = true
	begin := func(name string) {
		h.out = append(h.out, '[')
		h.out = strconv.AppendQuote(h.out, name)
		h.out = append(h.out, ',')
		h.out = strconv.AppendQuote(h.out, id)
	}
	text := func(s string) { h.out = strconv.AppendQuote(append(h.out, ','), s) }
	num := func(n int64) { h.out = strconv.AppendInt(append(h.out, ','), n, 10) }
	switch a.Kind {
	case control.Send:
		begin("relay")
		text(a.Call)
		num(int64(a.Server))
		num(a.Wait)
	case control.Refuse:
		begin("say_no")
		text(a.Call)
		num(a.Wait)
	case control.Fail:
		begin("end_failed")
		text(a.Call)
	case control.Cancel:
		begin("drop_attempt")
		text(a.Call)
		num(int64(a.Attempt))
	case control.StartTimer:
		begin("remind")
		num(int64(a.Tag))
		num(a.Wait)
	case control.Subscribe:
		begin("listen")
		h.out = append(h.out, ",true"...)
	}
	h.out = append(h.out, ']')
}
