package rig

import (
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"masthill/lab/standin"
)

const (
	// resumeTime is how long after a process resumes callers count on it again.
	resumeTime = 500 * time.Millisecond
	// leaveNoticeDelay is how long after the beginning of a restart callers notice that the instance leaves.
	leaveNoticeDelay = 200 * time.Millisecond
	// firstCrashAt is when the first server crashes, if the plan has crashes.
	firstCrashAt = 2 * time.Second
	// A server's start shows in an instance's list after minListDelay and a random time of at most listJitter.
	minListDelay = 200 * time.Millisecond
	listJitter   = 800 * time.Millisecond
)

// runFault applies one fault to its targets and records it. Faults of links are applied by updateLinks.
func (w *run) runFault(f Fault) {
	if !w.sleepUntil(f.At) {
		return
	}
	from := time.Since(w.startedAt)
	var targets sync.WaitGroup
	for _, k := range f.Targets {
		targets.Go(func() { w.applyFault(f, k) })
	}
	if f.Kind != "restart" {
		w.sleepUntil(f.At + f.Duration)
	}
	targets.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().After(w.lastFaultEnd) {
		w.lastFaultEnd = time.Now()
	}
	w.result.Faults = append(w.result.Faults, FaultRecord{f, from.Seconds(), time.Since(w.startedAt).Seconds()})
}

// applyFault applies a fault to one server or instance.
func (w *run) applyFault(f Fault, k int) {
	switch f.Kind {
	case "silent":
		w.servers[k].SetSilent(true)
		w.sleepUntil(f.At + f.Duration)
		w.servers[k].SetSilent(false)
		w.announceStart(k, time.Now())
	case "slow":
		w.servers[k].SetSlowdown(f.Slowdown)
		w.sleepUntil(f.At + f.Duration)
		w.servers[k].SetSlowdown(1)
	case "freeze":
		w.interrupt(k, func() { w.pause(f, k) })
	case "kill", "wipe", "oldcopy", "restart":
		w.interrupt(k, func() { w.restart(f, k) })
	}
}

// interrupt runs a fault of an instance's process, unless another fault of that process is in progress.
func (w *run) interrupt(k int, fault func()) {
	w.mu.Lock()
	busy := w.interrupted[k]
	w.interrupted[k] = true
	w.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		w.mu.Lock()
		delete(w.interrupted, k)
		w.mu.Unlock()
	}()
	fault()
}

// pause stops a process with SIGSTOP for the duration of a fault.
func (w *run) pause(f Fault, k int) {
	i := w.instances[k]
	w.callers.InstanceFrozen(i.Name)
	i.Signal(syscall.SIGSTOP)
	w.sleepUntil(f.At + f.Duration)
	i.Signal(syscall.SIGCONT)
	if w.sleepUntil(f.At + f.Duration + resumeTime) {
		w.callers.InstanceResumed(i.Name)
	}
}

// restart ends a process, by request or by force, and starts another one. The directory stays as it is, is emptied or is
// replaced by an old copy.
func (w *run) restart(f Fault, k int) {
	i := w.instances[k]
	graceful := f.Kind == "restart"
	oldCopy := filepath.Join(w.Dir, i.Name+".old")
	if f.Kind == "oldcopy" {
		os.RemoveAll(oldCopy)
		os.CopyFS(oldCopy, os.DirFS(i.Dir))
		w.sleepUntil(f.At + f.Duration/2)
	}
	if graceful {
		time.AfterFunc(leaveNoticeDelay, func() { w.callers.RemoveInstance(i.Name) })
	} else {
		w.callers.InstanceKilled(i.Name)
	}
	err := i.Stop(!graceful)
	w.recordEnd(k, time.Now())
	switch f.Kind {
	case "wipe":
		clearDir(i.Dir)
	case "oldcopy":
		clearDir(i.Dir)
		os.CopyFS(i.Dir, os.DirFS(oldCopy))
	}
	if !graceful {
		w.sleepUntil(f.At + f.Duration)
	}
	if err == nil && w.ctx.Err() == nil {
		err = w.startInstance(k)
	}
	if err != nil && w.ctx.Err() == nil {
		w.mu.Lock()
		w.result.Errors = append(w.result.Errors, err.Error())
		w.mu.Unlock()
	}
}

// clearDir empties a directory, but for symbolic links.
func clearDir(dir string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if e.Type()&fs.ModeSymlink == 0 {
			os.RemoveAll(filepath.Join(dir, e.Name()))
		}
	}
}

// crashServers crashes and restarts the servers in turn.
func (w *run) crashServers() {
	for n := 0; ; n++ {
		if !w.sleepUntil(firstCrashAt + time.Duration(n)*w.Plan.CrashInterval) {
			return
		}
		k := n % w.Plan.Servers
		w.announceStart(k, w.servers[k].Crash())
	}
}

// announceStart makes the lists show that a server has restarted.
func (w *run) announceStart(k int, startedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, name := range w.names {
		delay := minListDelay + time.Duration(w.rng.Int64N(int64(listJitter)))
		w.listServices[n].AnnounceChange(standin.NewEntry(w.servers[k], name, "SERVING", startedAt), delay)
	}
	w.coldServers = append(w.coldServers, w.servers[k].ID)
}
