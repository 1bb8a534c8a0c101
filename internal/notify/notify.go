// Package notify speaks the service manager's two small protocols: sd_notify (readiness, reloading, stopping, watchdog
// and status, as datagrams to the socket that NOTIFY_SOCKET names) and the passing of listening sockets by LISTEN_FDS.
// Without the variables everything here does nothing.
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

// writeFor bounds one datagram's write: a manager that does not read must not hold up the program.
const writeFor = 100 * time.Millisecond

// firstFD is the first passed descriptor (SD_LISTEN_FDS_START).
const firstFD = 3

// Manager is the service manager, if there is one; nil does nothing.
type Manager struct {
	conn  *net.UnixConn
	every time.Duration // between two signs of life; 0: none wanted
}

// Open finds the service manager in the environment.
func Open(getenv func(string) string) (*Manager, error) {
	path := getenv("NOTIFY_SOCKET")
	if path == "" {
		return nil, nil
	}
	if name, ok := strings.CutPrefix(path, "@"); ok { // in the abstract name space
		path = "\x00" + name
	}
	conn, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		return nil, fmt.Errorf("NOTIFY_SOCKET: %w", err)
	}
	m := &Manager{conn: conn}
	us, err := strconv.ParseInt(getenv("WATCHDOG_USEC"), 10, 64)
	if pid := getenv("WATCHDOG_PID"); err == nil && us > 0 && (pid == "" || pid == strconv.Itoa(os.Getpid())) {
		m.every = time.Duration(us) * time.Microsecond / 2
	}
	return m, nil
}

func (m *Manager) send(lines ...string) {
	if m == nil {
		return
	}
	m.conn.SetWriteDeadline(time.Now().Add(writeFor))
	m.conn.Write([]byte(strings.Join(lines, "\n"))) // a manager that is gone changes nothing here
}

// Ready tells that the program serves.
func (m *Manager) Ready(status string) { m.send("READY=1", "STATUS="+oneLine(status)) }

// Reloading tells that a new configuration is read; Ready is to follow.
func (m *Manager) Reloading() {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return
	}
	m.send("RELOADING=1", fmt.Sprintf("MONOTONIC_USEC=%d", now.Nano()/1000))
}

// Stopping tells that the program ends.
func (m *Manager) Stopping(status string) { m.send("STOPPING=1", "STATUS="+oneLine(status)) }

// Status tells in words what the program does.
func (m *Manager) Status(status string) { m.send("STATUS=" + oneLine(status)) }

func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }

// Watch gives signs of life until ctx ends, as long as alive comes back: it is to go through what must not hang.
func (m *Manager) RunWatchdog(ctx context.Context, alive func()) error {
	if m == nil || m.every == 0 {
		return nil
	}
	tick := time.NewTicker(m.every)
	defer tick.Stop()
	for {
		alive()
		m.send("WATCHDOG=1")
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Listeners takes over the listening sockets that were passed on, by their names (LISTEN_FDNAMES; one without a name
// is "callers", the port that every instance has). The variables are for this process alone, so they are cleared.
func Listeners(getenv func(string) string) (map[string]net.Listener, error) {
	n, err := strconv.Atoi(getenv("LISTEN_FDS"))
	if err != nil || n <= 0 || getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil
	}
	names := strings.Split(getenv("LISTEN_FDNAMES"), ":")
	all := map[string]net.Listener{}
	for k := range n {
		name := "callers"
		if k < len(names) && names[k] != "" {
			name = names[k]
		}
		f := os.NewFile(uintptr(firstFD+k), name)
		l, err := net.FileListener(f) // a copy; the passed one must not go on into other programs
		f.Close()
		if err == nil && all[name] != nil {
			err = fmt.Errorf("passed twice")
		}
		if err != nil {
			for _, l := range all {
				l.Close()
			}
			return nil, fmt.Errorf("LISTEN_FDS: descriptor %d, %s: %w", firstFD+k, name, err)
		}
		all[name] = l
	}
	for _, name := range []string{"LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"} {
		os.Unsetenv(name)
	}
	return all, nil
}
