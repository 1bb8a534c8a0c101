package exchange

import (
	"time"

	"masthill/control"
)

// checkSilentOffices has the connections checked of offices that are silent while calls are established there. Nothing
// else detects a machine that has vanished, and the callers of its calls wait for a release.
func (c *core) checkSilentOffices() {
	c.silenceCheckSet = false
	for _, cl := range c.calls {
		if cl.established && c.now-c.lastReceivedAt[cl.server] > int64(silenceLimit) {
			c.offices.ReportSilence(cl.server, time.Unix(0, c.now-int64(silenceLimit)), true)
		}
	}
	c.scheduleSilenceCheck()
}

// scheduleSilenceCheck sets the timer for the next check while there are calls.
func (c *core) scheduleSilenceCheck() {
	if !c.silenceCheckSet && len(c.calls) > 0 {
		c.silenceCheckSet = true
		c.after(silenceCheckInterval, c.checkSilentOffices)
	}
}

// officeLost cuts the calls established at an office by attempts sent before a time: all of them where its process
// died, or those sent before the start of a new process. The list reports a start seconds late, when calls may already
// be established at the new process.
func (c *core) officeLost(server uint64, before int64) {
	for _, cl := range c.callsInOrder() {
		if cl.established && cl.server == server && cl.sentAt < before {
			c.log.Info("call cut with its office", "call", cl.ID, "server", server)
			c.endEstablished(cl, Result{Outcome: control.ConnectionLost}, true)
			cl.caller.Release(cl.ID, true)
		}
	}
}

// reportReceived passes an office's load report to the controller.
func (c *core) reportReceived(server uint64, report []float64) {
	c.lastReceivedAt[server] = c.now
	c.log.Debug("state", "server", server, "report", report)
	c.dispatch(control.Event{Kind: control.LoadReport, Server: server, Report: report})
}

// updateOffices applies a change of the list. An office that restarted or was removed has cut the calls established
// there.
func (c *core) updateOffices(changed []Office, full bool) {
	cutBefore := map[uint64]int64{} // attempts sent before this time are cut
	if full {
		listed := map[uint64]bool{}
		for _, o := range changed {
			listed[o.Server] = true
		}
		for id, o := range c.knownOffices {
			if !listed[id] && o.State != control.Removed { // a full list that omits an office removes it
				o.State = control.Removed
				c.knownOffices[id] = o
				cutBefore[id] = c.now + 1
			}
		}
	}
	ev := control.Event{Kind: control.ListUpdate, FullList: full}
	for _, o := range changed {
		if before, ok := c.knownOffices[o.Server]; ok && o.State == control.Removed {
			cutBefore[o.Server] = c.now + 1
		} else if ok && before.ReadyAt != o.ReadyAt {
			cutBefore[o.Server] = o.ReadyAt
		}
		c.knownOffices[o.Server] = o
		ev.Entries = append(ev.Entries, o.Entry)
	}
	for id := range cutBefore {
		if c.knownOffices[id].State == control.Removed {
			c.releaseCallsAt(id)
		}
	}
	for id, o := range c.knownOffices {
		if o.State == control.Removed && len(c.knownOffices) > maxDepartedServers {
			delete(c.knownOffices, id)
			delete(c.lastReceivedAt, id)
		}
	}
	c.offices.UpdateList(changed, full)
	c.dispatch(ev)
	for id, before := range cutBefore {
		c.officeLost(id, before)
	}
}

// releaseCallsAt sends the office the releases of its established calls, which are about to be cut. Another office may have come
// up at the address of one that has gone, and taken calls that were meant for it: they would run on without their callers.
func (c *core) releaseCallsAt(server uint64) {
	for _, cl := range c.callsInOrder() {
		if cl.established && cl.server == server {
			c.offices.Bye(server, cl.ID, cl.attempts-1, true)
		}
	}
}
