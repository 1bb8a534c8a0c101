package wave

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one run of the program under test, in a folder of its own.
type instance struct {
	name, dir, program string
	settings           string // the operators' file
	config             map[string]any

	mu    sync.Mutex
	cmd   *exec.Cmd
	log   bytes.Buffer
	line  []byte
	ready chan string // its address
	ended chan struct{}
}

// start writes the configuration with the list as known now, starts the program and waits until it serves.
func (i *instance) start(ctx context.Context, known json.RawMessage) (addr string, err error) {
	i.config["known"] = known
	text, err := json.Marshal(i.config)
	if err != nil {
		return "", err
	}
	file, settings := filepath.Join(i.dir, "config.json"), filepath.Join(i.dir, "masthill.toml")
	if err := errors.Join(os.WriteFile(file, text, 0o600), os.WriteFile(settings, []byte(i.settings), 0o600)); err != nil {
		return "", err
	}
	cmd := exec.Command(i.program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+file, "MASTHILL_SETTINGS="+settings, "MASTHILL_CALLWS="+settings, "TMPDIR="+i.dir)
	cmd.Dir = i.dir
	cmd.Stderr = i
	ready, ended := make(chan string, 1), make(chan struct{})
	i.mu.Lock()
	i.ready = ready // its log comes with the start
	i.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return "", fmt.Errorf("%s does not start: %w", i.name, err)
	}
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended // only a process that is there can be stopped
	i.mu.Unlock()
	go func() { cmd.Wait(); close(ended) }()
	select {
	case addr = <-ready:
		return addr, nil
	case <-ended:
		return "", fmt.Errorf("%s ended at its start: %s", i.name, i.tail())
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("%s does not serve", i.name)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// logMost bounds what is kept of an instance's log.
const logMost = 1 << 20

// Write takes the program's log, and from it the address where it listens.
func (i *instance) Write(b []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.log.Len() < logMost {
		i.log.Write(b)
	}
	i.line = append(i.line, b...)
	for {
		line, rest, ok := bytes.Cut(i.line, []byte("\n"))
		if !ok {
			return len(b), nil
		}
		i.line = rest
		if _, addr, ok := strings.Cut(string(line), "listen="); ok && bytes.Contains(line, []byte("msg=serving ")) {
			addr, _, _ = strings.Cut(addr, " ")
			select {
			case i.ready <- addr:
			default:
			}
		}
	}
}

func (i *instance) tail() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	text := i.log.String()
	return text[max(0, len(text)-2000):]
}

// stop ends the program as the platform does; kill is the harder way. Both wait for its end.
func (i *instance) stop(kill bool) error {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if kill {
		cmd.Process.Kill()
	} else {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s did not end on SIGTERM", i.name)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 && !kill {
		return fmt.Errorf("%s ended with %d: %s", i.name, code, i.tail())
	}
	return nil
}
