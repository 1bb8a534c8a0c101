package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Files in the folder of an instance.
const (
	lockFile = "lock" // locked by the instance's process for its whole life
	runFile  = "run.json"
)

// ExitClaimed is the exit code of a launched process whose folder another process had claimed.
const ExitClaimed = 75

// ErrClaimed means that another process holds the lock of an instance's folder.
var ErrClaimed = errors.New("another process holds the folder")

// A supervisor that checks whether an instance runs holds the lock, shared, for a moment. A claim therefore retries for
// a while before it reports that another process has the folder.
const (
	claimRetryInterval = 5 * time.Millisecond
	maxClaimTries      = 20
)

// processRecord is what an instance's process writes about itself once it holds the lock.
type processRecord struct {
	PID        int    `json:"pid"`
	Generation string `json:"generation"`
	Program    string `json:"program"`
}

// Claim locks an instance's folder for this process and for the program that it executes next: the lock belongs to the
// process and is released when that ends, in whatever way. It fails if another process holds the lock, so that two
// instances of one name never run at once.
func Claim(dir, generation, program string) error {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	fd, err := syscall.Dup(int(f.Fd())) // without close-on-exec, and never closed: the lock must survive the exec
	if err != nil {
		return err
	}
	f.Close()
	if err := lockFolder(fd, nil); err != nil {
		return fmt.Errorf("%s: %w", dir, err)
	}
	text, err := json.Marshal(processRecord{os.Getpid(), generation, program})
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, runFile), text)
}

// lockFolder locks an instance's folder for the rest of the process. onContention is called after each failed try.
func lockFolder(fd int, onContention backoff.Notify) error {
	lock := func() (struct{}, error) { return struct{}{}, syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB) }
	_, err := backoff.Retry(context.Background(), lock, backoff.WithBackOff(backoff.NewConstantBackOff(claimRetryInterval)),
		backoff.WithMaxTries(maxClaimTries), backoff.WithNotify(onContention))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return ErrClaimed
	}
	return err
}

// findProcess tells whether an instance's process runs, and returns its record. The PID is 0 for a process that has the
// lock and has not written its record yet.
func findProcess(dir string) (record processRecord, isRunning bool) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR, 0)
	if err != nil {
		return record, false
	}
	defer f.Close()
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	if err == nil { // no process holds it; closing the file releases it again
		return record, false
	}
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return record, false
	}
	text, err := os.ReadFile(filepath.Join(dir, runFile))
	if err != nil || json.Unmarshal(text, &record) != nil || !isAlive(record.PID) {
		return processRecord{}, true
	}
	return record, true
}

// isAlive tells whether a process exists and is not a zombie.
func isAlive(pid int) bool {
	if pid <= 0 || syscall.Kill(pid, 0) != nil {
		return false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true // no /proc on this system, but the signal found the process
	}
	_, state, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(state, "Z")
}
