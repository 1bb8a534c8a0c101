package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"math"
	"os"

	"masthill/control/shared"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
)

// The claims of all processes are held against each other. Each line was written when it was claimed, with the time of the
// process's own steady clock; on one machine these agree.
type line struct {
	At        int64           `json:"at"`
	Kind      string          `json:"kind"`
	Claim     json.RawMessage `json:"claim"`
	Alive     int             `json:"alive"`
	Bytes     int64           `json:"bytes"`
	Datagrams int64           `json:"datagrams"`
}

// look is one look of a process at all that it knows.
type look struct {
	at    int64
	alive int
	bytes int64
	grams int64
	shared.Look
}

// process is one process and what it claimed.
type process struct {
	name     string
	epoch    uint64
	from, to int64 // to: its end as the rig knows it
	claims   []claim
	reigns   [][2]int64 // from and until
	looks    []look
	verdicts []judge.Verdict
}

type claim struct {
	at int64
	lease.Claim
}

// read reads the claims of one instance's processes.
func read(name, file string) (all []*process, err error) {
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, 1<<20)
	var p *process
	for {
		text, end := r.ReadBytes('\n')
		var l line
		if err := json.Unmarshal(bytes.TrimSpace(text), &l); err == nil { // the last line of a killed one may be cut short
			switch {
			case l.Kind == "start":
				var s struct {
					Epoch uint64 `json:"epoch"`
				}
				json.Unmarshal(l.Claim, &s)
				p = &process{name: name, epoch: s.Epoch, from: l.At, to: math.MaxInt64}
				all = append(all, p)
			case p == nil:
			case l.Kind == "claim":
				c := claim{at: l.At}
				json.Unmarshal(l.Claim, &c.Claim)
				p.claims = append(p.claims, c)
			case l.Kind == "reign":
				until := int64(0)
				json.Unmarshal(l.Claim, &until)
				p.reigns = append(p.reigns, [2]int64{l.At, until})
			case l.Kind == "look":
				k := look{at: l.At, alive: l.Alive, bytes: l.Bytes, grams: l.Datagrams}
				json.Unmarshal(l.Claim, &k.Look)
				p.looks = append(p.looks, k)
			case l.Kind == "verdict":
				var v judge.Verdict
				json.Unmarshal(l.Claim, &v)
				p.verdicts = append(p.verdicts, v)
			}
		}
		if end != nil {
			return all, nil
		}
	}
}
