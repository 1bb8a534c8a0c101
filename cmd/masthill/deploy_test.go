package main

import (
	"bytes"
	"debug/elf"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// startDeployed builds the program with the build command of the deploy file, lays out a directory as the run command
// expects it, with the operators' settings of the repository, and starts the run command.
func startDeployed(t *testing.T) *exec.Cmd {
	t.Helper()
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	flags, _, ok := strings.Cut(deploy.Build, " -o bin/ ./cmd/...")
	_, flags, also := strings.Cut(flags, "go build ")
	if !ok || !also || !strings.Contains(deploy.Build, "CGO_ENABLED=1 go build ") {
		t.Fatalf("build is %q", deploy.Build)
	}
	root := t.TempDir()
	program := filepath.Join(root, "bin", "masthill")
	build := exec.Command("go", append(append([]string{"build"}, strings.Fields(flags)...), "-o", program, ".")...)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	settings, err := os.ReadFile("../../deploy/masthill.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(root, "deploy"), 0o755); err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(root, "config.json")
	for file, text := range map[string][]byte{filepath.Join(root, "deploy", "masthill.toml"): settings, config: []byte(configuration(newJournal(t), nil))} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command("/bin/sh", "-c", deploy.Run)
	cmd.Dir = root
	cmd.Env = []string{"PROXY_CONFIG=" + config, "TMPDIR=" + t.TempDir(), "PATH=" + os.Getenv("PATH")}
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return cmd
}

// socketInodes are the inode numbers of a process's open sockets.
func socketInodes(pid int) (all []string) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, f := range files {
		if to, err := os.Readlink(f); err == nil && strings.HasPrefix(to, "socket:[") {
			all = append(all, strings.Trim(to[len("socket:"):], "[]"))
		}
	}
	return all
}

// socketRows are the rows, split into fields, of a table under /proc/PID/net that belong to the process's own sockets.
// inode is the column of the socket's inode number.
func socketRows(t *testing.T, pid int, table string, inode int) (mine [][]string) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, table))
	if err != nil {
		t.Fatal(err)
	}
	own := socketInodes(pid)
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > inode && slices.Contains(own, f[inode]) {
			mine = append(mine, f)
		}
	}
	return mine
}

// On the platform the program is one process that is linked dynamically against the C library. It listens only at the
// configured address, opens no Unix socket and starts no other process.
func TestDeployedProcess(t *testing.T) {
	cmd := startDeployed(t)
	pid := cmd.Process.Pid
	var listening [][]string
	for range 400 { // 20 s at most, on a busy machine
		if listening = socketRows(t, pid, "tcp", 9); slices.ContainsFunc(listening, func(f []string) bool { return f[3] == "0A" }) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // time to open anything after its listener
	exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid))
	if err != nil || filepath.Base(exe) != "masthill" {
		t.Fatalf("the run command does not exec the program: the process is %q, %v", exe, err)
	}
	file, err := elf.Open(exe)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("not linked against the C library: %v, %v", libraries, err)
	}
	var at []string
	for _, f := range socketRows(t, pid, "tcp", 9) {
		if f[3] != "0A" { // only sockets in the state LISTEN
			continue
		}
		address, port, _ := strings.Cut(f[1], ":")
		b, err := hex.DecodeString(address)
		if err != nil || len(b) != 4 {
			t.Fatal(f)
		}
		n, _ := strconv.ParseUint(port, 16, 16)
		if n == 0 {
			t.Error(f)
		}
		at = append(at, net.IPv4(b[3], b[2], b[1], b[0]).String())
	}
	if len(at) != 1 || at[0] != "127.0.0.1" {
		t.Errorf("it listens at %v, want 127.0.0.1 alone", at)
	}
	for table, inode := range map[string]int{"unix": 6, "tcp6": 9, "udp": 9, "udp6": 9} {
		if mine := socketRows(t, pid, table, inode); len(mine) > 0 {
			t.Errorf("%s: %v", table, mine)
		}
	}
	children, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	if err != nil || len(children) == 0 {
		t.Fatal("cannot read its children", err)
	}
	for _, f := range children {
		if text, _ := os.ReadFile(f); len(text) > 0 {
			t.Errorf("it started the processes %s", text)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
}
