package exchange

import (
	"time"

	"masthill/control"
)

// quiet looks for servers that hold calls and say nothing. A connect will tell whether they are still there: of
// a machine that has vanished nothing else does, and its calls' callers wait for the release.
func (c *core) quiet() {
	c.watch = false
	for _, cl := range c.calls {
		if cl.established && c.now-c.heard[cl.server] > int64(silenceLimit) {
			c.offices.ReportSilence(cl.server, time.Unix(0, c.now-int64(silenceLimit)), true)
		}
	}
	c.pulse()
}

func (c *core) pulse() {
	if !c.watch && len(c.calls) > 0 {
		c.watch = true
		c.after(silenceCheckInterval, c.quiet)
	}
}

// lost cuts all that stood at an office whose process died, or of a new process, what had been sent before its
// start. The list tells of a start seconds late, and by then calls may stand at the new process.
func (c *core) lost(server uint64, before int64) {
	for _, cl := range c.inOrder() {
		if cl.established && cl.server == server && cl.sentAt < before {
			c.log.Info("call cut with its office", "call", cl.ID, "server", server)
			c.over(cl, Result{Outcome: control.ConnectionLost}, true)
			cl.from.Release(cl.ID, true)
		}
	}
}

func (c *core) state(server uint64, report []float64) {
	c.heard[server] = c.now
	c.log.Debug("state", "server", server, "report", report)
	c.tell(control.Event{Kind: control.LoadReport, Server: server, Report: report})
}

// members takes a change of the list. A processor that started anew, or is gone, has cut what stood there.
func (c *core) members(changed []Office, full bool) {
	dead := map[uint64]int64{} // and the time before which
	if full {
		now := map[uint64]bool{}
		for _, o := range changed {
			now[o.Server] = true
		}
		for id, o := range c.known {
			if !now[id] && o.State != control.Removed { // as if it were named as gone
				o.State = control.Removed
				c.known[id] = o
				dead[id] = c.now + 1
			}
		}
	}
	ev := control.Event{Kind: control.ListUpdate, FullList: full}
	for _, o := range changed {
		if before, ok := c.known[o.Server]; ok && o.State == control.Removed {
			dead[o.Server] = c.now + 1
		} else if ok && before.ReadyAt != o.ReadyAt {
			dead[o.Server] = o.ReadyAt
		}
		c.known[o.Server] = o
		ev.Entries = append(ev.Entries, o.Entry)
	}
	for id, o := range c.known {
		if o.State == control.Removed && len(c.known) > maxDepartedServers {
			delete(c.known, id)
			delete(c.heard, id)
		}
	}
	c.offices.UpdateList(changed, full)
	c.tell(ev)
	for id, before := range dead {
		c.lost(id, before)
	}
}
