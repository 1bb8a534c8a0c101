package peers

import (
	stdlog "log"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// clusterLabel marks all datagrams and streams of the membership library. It must not be empty: see streamMark.
const clusterLabel = "masthill"

// memberlistConfig returns the configuration of the membership library.
func (p *Peers) memberlistConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = p.options.Name
	c.Label = clusterLabel
	c.Transport = p.transport
	c.Keyring = p.keyring
	c.GossipVerifyIncoming = true
	c.GossipVerifyOutgoing = true

	own := p.transport.addr()
	c.BindAddr, c.BindPort = own.IP.String(), own.Port
	if host, port, err := net.SplitHostPort(p.options.Advertise); err == nil {
		c.AdvertiseAddr = host
		c.AdvertisePort, _ = strconv.Atoi(port)
	}

	c.ProbeInterval = 500 * time.Millisecond
	c.ProbeTimeout = 200 * time.Millisecond
	c.GossipInterval = 200 * time.Millisecond
	c.GossipNodes = 3
	c.PushPullInterval = 15 * time.Second
	c.TCPTimeout = 2 * time.Second
	c.EnableCompression = false // messages are short
	c.UDPBufferSize = 1400
	c.DeadNodeReclaimTime = 5 * time.Second // a name may come back at another address

	callbacks := (*delegate)(p)
	c.Delegate = callbacks
	c.Events = callbacks
	c.Conflict = callbacks
	c.Alive = callbacks
	c.Logger = stdlog.New(logWriter{p.log}, "", 0)
	return p.options.stretchConfig(c)
}

// logWriter forwards the library's log lines: errors at level info, as they are not errors of this program, and the rest at
// level debug.
type logWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "[ERR]") {
		w.log.Info("membership", "reason", "library", "text", text)
	} else {
		w.log.Debug("membership", "text", text)
	}
	return len(b), nil
}
