package ctl

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"masthill/internal/peers"
)

// WriteText writes the status in a form for people.
func (s *Status) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	age := "never heard"
	if s.ListAgeMS >= 0 {
		age = (time.Duration(s.ListAgeMS) * time.Millisecond).String() + " ago"
	}
	fmt.Fprintf(t, "%s\t%s, pid %d, version %s\n", s.Name, s.Phase, s.PID, s.Version)
	fmt.Fprintf(t, "started\t%s ago, %s; snapshot: %s\n", time.Since(s.StartedAt).Round(time.Second), s.StartReason, s.Snapshot)
	fmt.Fprintf(t, "listen\t%s\n", s.Listen)
	fmt.Fprintf(t, "list\tposition %d, heard of %s\n", s.ListPos, age)
	fmt.Fprintf(t, "calls\t%d open (%d held, %d waiting), %d standing; %d stood, %d refused, %d failed\n", s.Core.Open, s.Core.Held,
		s.Core.HeldByModules, s.Core.EstablishedCalls, s.Core.EstablishedTotal, s.Core.Refused, s.Core.Failed)
	fmt.Fprintf(t, "held\t%.1f of %d MB, %d of %d descriptors, %d events waiting\n", s.MemoryMB, s.MemoryLimitMB, s.Descriptors,
		s.DescriptorLimit, s.Core.InboxLength)
	for _, m := range s.Core.Modules {
		fmt.Fprintf(t, "%s\t%s (%s); held %d, refused %d, %d offices capped", m.Module, m.State, m.Reason, m.Held, m.RefusedTotal, m.Capped)
		if m.ExitCondition != "" {
			fmt.Fprintf(t, "; until %s", m.ExitCondition)
		}
		fmt.Fprintln(t)
	}
	if s.Peers != nil {
		countByState := map[string]int{}
		for _, m := range s.Peers.Members {
			countByState[m.State]++
		}
		fmt.Fprintf(t, "peers\t%s: %d alive, %d suspect, %d gone, %d left; allocator %s; details: masthill peers\n", s.Peers.Shared.State, countByState[peers.Alive],
			countByState[peers.Suspect], countByState[peers.Gone], countByState[peers.Left], cmp.Or(s.Peers.Shared.Leader, "not known"))
	}
	if s.ConfigWarning != "" {
		fmt.Fprintf(t, "warning\t%s\n", s.ConfigWarning)
	}
	t.Flush()
	if len(s.Core.Offices) == 0 {
		fmt.Fprintln(w, "no offices listed")
		return
	}
	fmt.Fprintln(t, "office\taddress\tlisted\twarm\tbelieved\tout\tstanding\tdelay")
	for _, o := range s.Core.Offices {
		status := ""
		for _, b := range []struct {
			is   bool
			name string
		}{{o.Down, "down"}, {o.Cold, "cold"}, {o.InBackoff, "marked"}, {o.Overloaded, "pressed"}} {
			if b.is {
				status += " " + b.name
			}
		}
		if status == "" {
			status = " well"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0f%%\t%s\t%d\t%d\t%.0f ms\n", o.ID, o.Addr, o.Listed, 100*o.CapacityFraction, status[1:], o.Pending, o.EstablishedCalls, o.ExpectedDelayMS)
	}
}
