package rig

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"masthill/lab/standin"
)

func (w *run) until(at time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(time.Until(w.began.Add(at))):
		return true
	}
}

// driveEvery is how often the links are set by the faults of the moment.
const driveEvery = 50 * time.Millisecond

// drive sets the links, and notes how late the rig itself runs.
func (w *run) drive() {
	for n := 1; ; n++ {
		if !w.until(time.Duration(n) * driveEvery) {
			return
		}
		now := time.Since(w.began)
		w.mu.Lock()
		w.r.LateMS = max(w.r.LateMS, float64((now-time.Duration(n)*driveEvery).Microseconds())/1000)
		w.mu.Unlock()
		for pair, l := range w.links {
			l.set(w.way(now, pair[0], pair[1]))
		}
	}
}

// way adds up what goes wrong between two instances at a time.
func (w *run) way(now time.Duration, from, to int) (way Way) {
	for _, f := range w.faults {
		if now < f.At || now >= f.At+f.For {
			continue
		}
		a, b := slices.Contains(f.Who, from), slices.Contains(f.Who, to)
		switch f.Kind {
		case "cut":
			way.Cut = way.Cut || a != b
		case "flap":
			way.Cut = way.Cut || a != b && now%time.Second < time.Second/2
		case "between":
			way.Cut = way.Cut || a && b
		case "oneway":
			way.Cut = way.Cut || b && !a
		case "halfopen":
			way.HalfOpen = way.HalfOpen || b
		case "noise":
			if a || b {
				way.Loss, way.Twice = max(way.Loss, f.Loss), max(way.Twice, f.Twice)
				way.Delay, way.Jitter, way.PerSec = max(way.Delay, f.Delay), max(way.Jitter, f.Jitter), f.PerSec
			}
		}
	}
	return way
}

// strike has one fault happen to processes or servers, and records it.
func (w *run) strike(f Fault) {
	if !w.until(f.At) {
		return
	}
	from := time.Since(w.began)
	var all sync.WaitGroup
	for _, k := range f.Who {
		all.Go(func() { w.struck(f, k) })
	}
	if f.Kind != "restart" {
		w.until(f.At + f.For)
	}
	all.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().After(w.calm) {
		w.calm = time.Now()
	}
	w.r.Faults = append(w.r.Faults, Struck{f, from.Seconds(), time.Since(w.began).Seconds()})
}

func (w *run) struck(f Fault, k int) {
	switch f.Kind {
	case "silent":
		w.servers[k].Silence(true)
		w.until(f.At + f.For)
		w.servers[k].Silence(false)
		w.cold(k, time.Now())
		return
	case "slow":
		w.servers[k].Slow(f.Times)
		w.until(f.At + f.For)
		w.servers[k].Slow(1)
		return
	case "freeze", "kill", "wipe", "oldcopy", "restart":
	default:
		return
	}
	w.mu.Lock()
	busy := w.down[k]
	w.down[k] = true
	w.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		w.mu.Lock()
		delete(w.down, k)
		w.mu.Unlock()
	}()
	i := w.instances[k]
	if f.Kind == "freeze" {
		w.crowd.Frozen(i.Name)
		i.Signal(syscall.SIGSTOP)
		w.until(f.At + f.For)
		i.Signal(syscall.SIGCONT)
		if w.until(f.At + f.For + 500*time.Millisecond) {
			w.crowd.Thawed(i.Name)
		}
		return
	}
	copied := filepath.Join(w.Dir, i.Name+".old")
	if f.Kind == "oldcopy" {
		os.RemoveAll(copied)
		os.CopyFS(copied, os.DirFS(i.Dir))
		w.until(f.At + f.For/2)
	}
	if f.Kind == "restart" {
		time.AfterFunc(200*time.Millisecond, func() { w.crowd.Leave(i.Name) })
	} else {
		w.crowd.Killed(i.Name)
	}
	err := i.Stop(f.Kind != "restart")
	w.ended(k, time.Now())
	switch f.Kind {
	case "wipe":
		empty(i.Dir)
	case "oldcopy":
		empty(i.Dir)
		os.CopyFS(i.Dir, os.DirFS(copied))
	}
	if f.Kind != "restart" {
		w.until(f.At + f.For)
	}
	if err == nil && w.ctx.Err() == nil {
		err = w.up(k)
	}
	if err != nil && w.ctx.Err() == nil {
		w.mu.Lock()
		w.r.Errors = append(w.r.Errors, err.Error())
		w.mu.Unlock()
	}
}

// empty clears a folder.
func empty(dir string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if e.Type()&fs.ModeSymlink == 0 {
			os.RemoveAll(filepath.Join(dir, e.Name()))
		}
	}
}

// colds has servers crash and start anew, one after the other.
func (w *run) colds() {
	for n := 0; ; n++ {
		if !w.until(2*time.Second + time.Duration(n)*w.Plan.Cold) {
			return
		}
		k := n % w.Plan.Servers
		w.cold(k, w.servers[k].Crash())
	}
}

// cold has the lists tell that a server started anew.
func (w *run) cold(k int, started time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, name := range w.names {
		late := 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(800*time.Millisecond)))
		w.lists[n].Change(standin.EntryOf(w.servers[k], name, "SERVING", started), late)
	}
	w.coldS = append(w.coldS, w.servers[k].ID)
}
