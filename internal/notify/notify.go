// Package notify implements two protocols of service managers such as systemd: sd_notify (readiness, reloading, stopping,
// watchdog and status, as datagrams to the socket that NOTIFY_SOCKET names) and the passing of listening sockets by
// LISTEN_FDS. Without these variables it does nothing.
package notify

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout limits the write of one datagram: a manager that does not read must not block the program.
const writeTimeout = 100 * time.Millisecond

// firstFD is the number of the first passed descriptor (SD_LISTEN_FDS_START).
const firstFD = 3

// Manager is the connection to the service manager. The methods of a nil Manager do nothing.
type Manager struct {
	conn             *net.UnixConn
	watchdogInterval time.Duration // between two keep-alive messages; 0: watchdog off
}

// Open connects to the service manager that the environment names; the Manager is nil if there is none.
func Open(getenv func(string) string) (*Manager, error) {
	path := getenv("NOTIFY_SOCKET")
	if path == "" {
		return nil, nil
	}
	if name, ok := strings.CutPrefix(path, "@"); ok { // abstract socket address
		path = "\x00" + name
	}
	conn, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		return nil, fmt.Errorf("NOTIFY_SOCKET: %w", err)
	}
	m := &Manager{conn: conn}
	us, err := strconv.ParseInt(getenv("WATCHDOG_USEC"), 10, 64)
	if pid := getenv("WATCHDOG_PID"); err == nil && us > 0 && (pid == "" || pid == strconv.Itoa(os.Getpid())) {
		m.watchdogInterval = time.Duration(us) * time.Microsecond / 2
	}
	return m, nil
}

func (m *Manager) send(lines ...string) {
	if m == nil {
		return
	}
	m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	m.conn.Write([]byte(strings.Join(lines, "\n"))) // the program runs on without a manager
}

// Ready reports that the program serves.
func (m *Manager) Ready(status string) { m.send("READY=1", "STATUS="+oneLine(status)) }

// Reloading reports that a new configuration is being read; call Ready afterwards.
func (m *Manager) Reloading() {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return
	}
	m.send("RELOADING=1", fmt.Sprintf("MONOTONIC_USEC=%d", now.Nano()/1000))
}

// Stopping reports that the program is ending.
func (m *Manager) Stopping(status string) { m.send("STOPPING=1", "STATUS="+oneLine(status)) }

// Status reports the program's state as free text.
func (m *Manager) Status(status string) { m.send("STATUS=" + oneLine(status)) }

func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }

// RunWatchdog sends keep-alive messages at half the watchdog's timeout until ctx ends. It calls checkAlive before each;
// that should pass through everything that must not hang, as no message is sent until it returns.
func (m *Manager) RunWatchdog(ctx context.Context, checkAlive func()) error {
	if m == nil || m.watchdogInterval == 0 {
		return nil
	}
	tick := time.NewTicker(m.watchdogInterval)
	defer tick.Stop()
	for {
		checkAlive()
		m.send("WATCHDOG=1")
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Listeners returns the listening sockets that were passed to this process, by name (LISTEN_FDNAMES; one without a name
// is "callers", the port that every instance has). It clears the variables, as they are for this process alone.
func Listeners(getenv func(string) string) (map[string]net.Listener, error) {
	n, err := strconv.Atoi(getenv("LISTEN_FDS"))
	if err != nil || n <= 0 || getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil
	}
	names := strings.Split(getenv("LISTEN_FDNAMES"), ":")
	listeners := map[string]net.Listener{}
	for k := range n {
		name := "callers"
		if k < len(names) && names[k] != "" {
			name = names[k]
		}
		f := os.NewFile(uintptr(firstFD+k), name)
		l, err := net.FileListener(f) // a copy; programs started by this one must not inherit the descriptor
		f.Close()
		if err == nil && listeners[name] != nil {
			err = fmt.Errorf("passed twice")
		}
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, fmt.Errorf("LISTEN_FDS: descriptor %d, %s: %w", firstFD+k, name, err)
		}
		listeners[name] = l
	}
	for _, name := range []string{"LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"} {
		os.Unsetenv(name)
	}
	return listeners, nil
}
