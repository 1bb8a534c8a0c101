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

// The files of an instance's folder.
const (
	lockFile = "lock" // held by the instance's process from before it runs to its end
	runFile  = "run.json"
)

// ExitClaimed is the exit code of a launched process that found its folder claimed by another one.
const ExitClaimed = 75

// ErrClaimed tells that another process holds an instance's folder.
var ErrClaimed = errors.New("another process runs there")

// A supervisor that looks whether an instance runs holds the lock, shared, for an instant: a claim tries again for that
// long before it takes the folder for another process's.
const (
	claimRetryInterval = 5 * time.Millisecond
	maxClaimTries      = 20
)

// claimed is what an instance's process notes of itself once it holds the lock.
type processRecord struct {
	PID        int    `json:"pid"`
	Generation string `json:"generation"`
	Program    string `json:"program"`
}

// Claim takes an instance's folder for this process, and for the program that it becomes: the lock goes with the
// process and ends with it, however that ends. It fails where another process has it, so that no two instances of one
// name ever run.
func Claim(dir, generation, program string) error {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	fd, err := syscall.Dup(int(f.Fd())) // without close-on-exec, and never closed: it is to outlive this program's text
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

// lockFolder takes the lock of an instance's folder for good. contended is told of each try in vain.
func lockFolder(fd int, onContention backoff.Notify) error {
	lock := func() (struct{}, error) { return struct{}{}, syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB) }
	_, err := backoff.Retry(context.Background(), lock, backoff.WithBackOff(backoff.NewConstantBackOff(claimRetryInterval)),
		backoff.WithMaxTries(maxClaimTries), backoff.WithNotify(onContention))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return ErrClaimed
	}
	return err
}

// running tells whether an instance's process runs, and what it noted of itself. A process that has the lock and has
// not noted anything yet is told with a pid of 0.
func findProcess(dir string) (record processRecord, isRunning bool) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR, 0)
	if err != nil {
		return record, false
	}
	defer f.Close()
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	if err == nil { // nobody has it; closing lets go again
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

// alive tells whether a process is there and no corpse that nobody has buried yet.
func isAlive(pid int) bool {
	if pid <= 0 || syscall.Kill(pid, 0) != nil {
		return false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true // no /proc here; the signal found it
	}
	_, state, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(state, "Z")
}
