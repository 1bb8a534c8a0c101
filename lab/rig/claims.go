package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"math"
	"os"

	"masthill/control/shared"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

// claimLine is one line of a claims file, written when the claim was made. Its time is that of a steady clock on which all
// processes of a machine agree.
type claimLine struct {
	At        int64           `json:"at"`
	Kind      string          `json:"kind"`
	Claim     json.RawMessage `json:"claim"`
	Alive     int             `json:"alive"`
	Bytes     int64           `json:"bytes"`
	Datagrams int64           `json:"datagrams"`
}

// process is one process of an instance, with everything that it claimed.
type process struct {
	name        string
	epoch       uint64
	from, to    int64 // to is when the rig saw the process end
	claims      []claim
	leaderTerms [][2]int64 // from and until, for each term as the leader
	snapshots   []snapshot
	decisions   []outlier.Decision
}

// claim is a process's claim on a budget and when it was made.
type claim struct {
	at int64
	lease.Claim
}

// snapshot is everything that a process knew at a time.
type snapshot struct {
	at        int64
	alive     int
	bytes     int64
	datagrams int64
	shared.Snapshot
}

// readClaims reads the claims of one instance's processes. A file that is missing counts as empty.
func readClaims(name, file string) (all []*process, err error) {
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, 1<<20)
	var current *process
	for {
		text, end := r.ReadBytes('\n')
		var l claimLine
		if err := json.Unmarshal(bytes.TrimSpace(text), &l); err == nil { // the last line of a killed process may be incomplete
			if l.Kind == "start" {
				current = startedProcess(name, l)
				all = append(all, current)
			} else if current != nil {
				current.add(l)
			}
		}
		if end != nil {
			return all, nil
		}
	}
}

// startedProcess makes a process from the first line that it wrote.
func startedProcess(name string, l claimLine) *process {
	var start struct {
		Epoch uint64 `json:"epoch"`
	}
	json.Unmarshal(l.Claim, &start)
	return &process{name: name, epoch: start.Epoch, from: l.At, to: math.MaxInt64}
}

// add adds a further line of the process.
func (p *process) add(l claimLine) {
	switch l.Kind {
	case "claim":
		c := claim{at: l.At}
		json.Unmarshal(l.Claim, &c.Claim)
		p.claims = append(p.claims, c)
	case "reign":
		until := int64(0)
		json.Unmarshal(l.Claim, &until)
		p.leaderTerms = append(p.leaderTerms, [2]int64{l.At, until})
	case "look":
		s := snapshot{at: l.At, alive: l.Alive, bytes: l.Bytes, datagrams: l.Datagrams}
		json.Unmarshal(l.Claim, &s.Snapshot)
		p.snapshots = append(p.snapshots, s)
	case "verdict":
		var v outlier.Decision
		json.Unmarshal(l.Claim, &v)
		p.decisions = append(p.decisions, v)
	}
}
