package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"masthill/control"
)

// fields decodes the values of one event in order and keeps the first error.
type fields struct {
	values []json.RawMessage
	pos    int
	err    error
}

// next returns the next value; nil if it is null or absent. The name in the call only documents it.
func (f *fields) next(string) json.RawMessage {
	if f.pos >= len(f.values) {
		return nil
	}
	v := f.values[f.pos]
	f.pos++
	if string(v) == "null" {
		return nil
	}
	return v
}

// decodeNext decodes the next value into dest. A missing value is an error if it is required.
func (f *fields) decodeNext(name string, required bool, dest any) {
	v := f.next(name)
	if f.err != nil || (v == nil && !required) {
		return
	}
	if v == nil {
		f.err = fmt.Errorf("%s is missing", name)
		return
	}
	if err := json.Unmarshal(v, dest); err != nil {
		f.err = fmt.Errorf("%s: %w", name, err)
	}
}

func (f *fields) text(name string) (s string)    { f.decodeNext(name, true, &s); return s }
func (f *fields) optText(name string) (s string) { f.decodeNext(name, false, &s); return s }
func (f *fields) boolean(name string) (b bool)   { f.decodeNext(name, false, &b); return b }
func (f *fields) number(name string) (x float64) { f.decodeNext(name, false, &x); return x }
func (f *fields) loadReport() (r []float64)      { f.decodeNext("server_stats", false, &r); return r }

func (f *fields) rows(name string) (r [][]json.RawMessage) { f.decodeNext(name, true, &r); return r }

// integer decodes an optional whole number; 0 if it is missing.
func (f *fields) integer(name string) int64 {
	var n json.Number
	f.decodeNext(name, false, &n)
	if n == "" || f.err != nil {
		return 0
	}
	if i, err := n.Int64(); err == nil {
		return i
	}
	if u, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
		return int64(u) // a seed may use all 64 bits
	}
	x, err := n.Float64()
	if err != nil || x != float64(int64(x)) {
		f.err = fmt.Errorf("%s: %q is not a whole number", name, n)
	}
	return int64(x)
}

// outcome decodes the outcome of an attempt.
func (f *fields) outcome() control.Outcome {
	s := f.text("outcome")
	names := []string{"completed", "errored", "saturated", "overdue", "refused_conn", "severed", "recalled",
		"superseded"} // in the order of control.Outcome
	for k, n := range names {
		if n == s {
			return control.Outcome(k)
		}
	}
	if f.err == nil {
		f.err = fmt.Errorf("unknown outcome %q", s)
	}
	return 0
}

// decodeEntries decodes the records of a server list.
func decodeEntries(rows [][]json.RawMessage) ([]control.Entry, error) {
	states := map[string]control.EntryState{"IN": control.Serving, "LAME": control.Draining, "OUT": control.Removed}
	out := make([]control.Entry, 0, len(rows))
	for k, row := range rows {
		f := fields{values: row}
		e := control.Entry{Cell: int(f.integer("cell")), Share: f.number("share"), Server: uint64(f.integer("server"))}
		f.next("area")
		f.next("model")
		e.ReadyAt = f.integer("ready_at_ns")
		readiness := f.text("readiness")
		state, ok := states[readiness]
		if f.err == nil && !ok {
			f.err = fmt.Errorf("unknown readiness %q", readiness)
		}
		if f.err != nil {
			return nil, fmt.Errorf("entry %d: %w", k, f.err)
		}
		e.State = state
		out = append(out, e)
	}
	return out, nil
}

// params is the JSON layout of the settings.
type params struct {
	GroupSize int    `json:"group_size"`
	Ordinal   int    `json:"ordinal"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Topology  string  `json:"topology"`
		ThisNode  *int    `json:"this_node"`
		Cells     [][]int `json:"class_cells"`
		ClearWait int64   `json:"clear_wait_ns"`
		T1        int64   `json:"t1_ns"`
	} `json:"extra"`
	Feedback struct {
		Fields []string `json:"fields"`
	} `json:"feedback"`
	Grades []struct {
		Aim      int64   `json:"aim_ns"`
		Deadline int64   `json:"deadline_ns"`
		Worth    float64 `json:"worth"`
		Late     float64 `json:"late_value"`
		Effect   string  `json:"effect"`
	} `json:"grades"`
	Limits struct {
		MaxAttempts   int   `json:"max_attempts"`
		MayCancel     bool  `json:"may_cancel"`
		SecondCopies  bool  `json:"second_copies"`
		RetryAfter    bool  `json:"retry_after"`
		MaxRetryAfter int64 `json:"max_retry_after_ns"`
	} `json:"limits"`
	Resolution int64 `json:"resolution_ns"`
	Rules      struct {
		ColdFrom     float64 `json:"cold_from"`
		ColdSpan     int64   `json:"cold_ns"`
		DrainGrace   int64   `json:"drain_grace_ns"`
		FallMultiple float64 `json:"fall_multiple"`
		FallWindow   int64   `json:"fall_ns"`
	} `json:"rules"`
}

// DecodeSettings decodes the settings of a controller, from its first message or from its configuration.
func DecodeSettings(raw json.RawMessage) (control.Settings, error) {
	var p params
	if raw == nil {
		return control.Settings{}, errors.New("params is missing")
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return control.Settings{}, fmt.Errorf("decoding: %w", err)
	}
	s := control.Settings{
		GroupSize: p.GroupSize, Ordinal: p.Ordinal, Meshed: p.Extra.Topology == "meshed", OwnCell: -1,
		ListOnRequest: p.Discovery == "on_request", MaxAttempts: p.Limits.MaxAttempts,
		MayCancel: p.Limits.MayCancel, SecondCopies: p.Limits.SecondCopies,
		RetryAfter: p.Limits.RetryAfter, MaxRetryAfter: p.Limits.MaxRetryAfter,
		ReportFields: p.Feedback.Fields, Resolution: p.Resolution, T1: p.Extra.T1, ReleaseWait: p.Extra.ClearWait,
		DrainGrace: p.Rules.DrainGrace, CrashMultiple: p.Rules.FallMultiple, CrashWindow: p.Rules.FallWindow,
		ColdFraction: p.Rules.ColdFrom, WarmUpTime: p.Rules.ColdSpan,
	}
	if p.Extra.ThisNode != nil {
		s.OwnCell = *p.Extra.ThisNode
	}
	effects := map[string]control.Effect{"": control.Idempotent, "free": control.Idempotent, "guarded": control.Guarded,
		"single_shot": control.SingleShot}
	for k, g := range p.Grades {
		effect, ok := effects[g.Effect]
		if !ok {
			return s, fmt.Errorf("grades[%d].effect: unknown %q", k, g.Effect)
		}
		c := control.Class{TargetDelay: g.Aim, Deadline: g.Deadline, Value: g.Worth, LateValue: g.Late, Effect: effect}
		if k < len(p.Extra.Cells) {
			c.Cells = p.Extra.Cells[k]
		}
		s.Classes = append(s.Classes, c)
	}
	return s, nil
}
