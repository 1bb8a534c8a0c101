package ctl

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"masthill/control/shared"
	"masthill/internal/peers"
)

// Peers is what an instance knows of the other instances of its fleet.
type Peers struct {
	peers.Status
	Shared shared.Snapshot `json:"shared"`
}

// WriteText writes the status of the peers in a form for people.
func (p *Peers) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "%s\t%s, epoch %s, health %d, %s for %s\n", p.Name, p.Addr, p.Epoch, p.Health, p.Shared.State,
		time.Since(time.Unix(0, p.Shared.SinceNS)).Round(time.Second))
	if p.NameTakenBy != "" {
		fmt.Fprintf(t, "NAME TAKEN\tby the process at %s: this one sends nothing until that ends\n", p.NameTakenBy)
	}
	fmt.Fprintf(t, "allocator\t%s\n", cmp.Or(p.Shared.Leader, "none known"))
	fmt.Fprintf(t, "messages\t%d heard, %d dropped, %d unreadable; %d datagrams of %d bytes sent\n", p.Received, p.Dropped, p.Undecodable, p.SentDatagrams, p.SentBytes)
	t.Flush()
	fmt.Fprintln(t, "\nmember\tstate\tsince\tsite\tmachine\taddress\tstarts\tversion")
	for _, m := range p.Members {
		name := m.Name
		if m.Self {
			name += " (this)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s ago\t%s\t%s\t%s\t%d\t%s\n", name, m.State, time.Since(m.Since).Round(time.Second), m.Site, m.Machine, m.Addr, m.Starts, m.Version)
	}
	t.Flush()
	if len(p.Shared.Leases) > 0 {
		fmt.Fprintln(t, "\nbudget\tof all, a second\tfloor here\tpart here\tends in\twanted\tused")
		for _, l := range p.Shared.Leases {
			fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.2f\t%d ms\t%.2f\t%d\n", l.Budget, float64(l.Size)/1e3, float64(l.Floor)/1e3, float64(l.Rate)/1e3, l.LeftMS,
				float64(l.Requested)/1e3, l.Used)
		}
		t.Flush()
	}
	if len(p.Shared.Counts) > 0 {
		fmt.Fprintln(t, "\ncount, 2 s\tvalue\tat least\tat most\tage\tof instances")
		for _, c := range p.Shared.Counts {
			fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d ms\t%d\n", c.Key, c.Value, c.LowerBound, c.UpperBound, c.AgeMS, c.Processes)
		}
		t.Flush()
	}
	if len(p.Shared.Decisions) > 0 {
		fmt.Fprintln(t, "\noffice\tjudged\treason\twitnesses\tagainst\tage")
		for _, v := range p.Shared.Decisions {
			decision := "heard of"
			if v.Avoided {
				decision = "avoided"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d ms\n", strconv.FormatUint(v.Server, 16), decision, v.Reason, strings.Join(v.Observers, " "), v.GoodReports, v.AgeMS)
		}
	}
	if len(p.Changes) > 0 {
		t.Flush()
		fmt.Fprintln(t, "\nchange\tmember\tstate\treason")
		for _, c := range p.Changes[max(0, len(p.Changes)-10):] {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", c.At.UTC().Format("15:04:05.0"), c.Name, c.State, c.Reason)
		}
	}
}
