package main

import (
	"cmp"
	"os"
	"time"

	"masthill/internal/caller"
	"masthill/internal/callws"
	"masthill/internal/handover"
)

// handOverTimeout limits the wait for the disk at the end of the process: it is what is left until SIGKILL when the last answers
// have been written.
const handOverTimeout = refuseMargin - flushTimeout

// The kinds of what a process hands over to the next one.
const (
	callerReleases = "releases"
	callWSReleases = "callws-releases"
)

// handoverFiles is where the processes at this instance's address hand things over: in the directory for its state, or else
// in the one for temporary files.
func (in *instance) handoverFiles() handover.Files {
	return handover.Files{Dir: cmp.Or(in.settings.State.Dir, os.TempDir()), Addr: in.listenAddr}
}

// handOver hands items over to the next process, and tells whether that worked within handOverTimeout.
func handOver[T any](in *instance, kind string, items []T) bool {
	files := in.handoverFiles()
	done := make(chan error, 1)
	go func() { done <- handover.Put(files, kind, items) }()
	select {
	case err := <-done:
		if err != nil {
			in.log.Warn("hand-over failed", "kind", kind, "dir", files.Dir, "err", err)
			return false
		}
	case <-time.After(handOverTimeout):
		in.log.Warn("hand-over failed", "kind", kind, "dir", files.Dir, "err", "the disk takes too long")
		return false
	}
	in.log.Info("handed over", "kind", kind, "items", len(items))
	return true
}

// takeOver returns what previous processes have handed over.
func takeOver[T any](in *instance, kind string) []T {
	items, err := handover.Take[T](in.handoverFiles(), kind)
	if err != nil {
		in.log.Warn("take-over incomplete", "kind", kind, "err", err)
	}
	if len(items) > 0 {
		in.log.Info("taken over", "kind", kind, "items", len(items))
	}
	return items
}

// adoptReleases takes over the releases that previous processes at this address held for their callers: at the start, and
// when the process beside which this one was started has ended.
func (in *instance) adoptReleases() {
	in.callerFront.AdoptReleases(takeOver[caller.HeldRelease](in, callerReleases))
	if in.callWSFront != nil {
		in.callWSFront.AdoptReleases(takeOver[callws.HeldRelease](in, callWSReleases))
	}
}
