package rig

import (
	"fmt"
	"path/filepath"
	"strings"
)

// settings returns the content of an instance's settings file for operators.
func (w *run) settings(k int, dir string, addr func(int) string) string {
	p := w.Plan
	var b strings.Builder
	fmt.Fprintf(&b, "[goodput]\nenabled = true\n[state]\ndir = %q\nevery = \"1s\"\n[shares]\nenabled = %v\n", dir, p.Shares)
	if w.WithoutPeers {
		return b.String()
	}
	machine := fmt.Sprintf("m%d", k)
	if p.Machines > 0 {
		machine = fmt.Sprintf("m%d", k%p.Machines)
	}
	w.machines[w.names[k]] = machine
	var seeds, voters []string
	for n := range p.Voters {
		voters = append(voters, fmt.Sprintf("%q", w.names[n]))
		if n != k {
			seeds = append(seeds, fmt.Sprintf("%q", w.names[n]+"/"+addr(n)))
		}
	}
	b.WriteString("[peers]\n")
	fmt.Fprintf(&b, "listen = %q\n", addr(k))
	fmt.Fprintf(&b, "site = \"s%d\"\n", k%p.Sites)
	fmt.Fprintf(&b, "machine = %q\n", machine)
	fmt.Fprintf(&b, "seeds = [%s]\n", strings.Join(seeds, ", "))
	fmt.Fprintf(&b, "keys = [%q]\n", fleetKey)
	fmt.Fprintf(&b, "keepers = [%s]\n", strings.Join(voters, ", "))
	fmt.Fprintf(&b, "term = %q\n", p.Term)
	fmt.Fprintf(&b, "budgets = %v\n", p.Budgets)
	fmt.Fprintf(&b, "judgements = %v\n", p.DetectOutliers)
	fmt.Fprintf(&b, "audit = %q\n", w.claimsFile(k))
	if len(w.links) == 0 {
		return b.String()
	}
	b.WriteString("[peers.via]\n")
	for n, name := range w.names {
		if n != k {
			fmt.Fprintf(&b, "%s = %q\n", name, w.links[[2]int{k, n}].addr())
		}
	}
	return b.String()
}

// claimsFile is the path of an instance's claims file. It is outside the instance's directory, which faults may empty.
func (w *run) claimsFile(k int) string { return filepath.Join(w.Dir, w.names[k]+".claims") }
