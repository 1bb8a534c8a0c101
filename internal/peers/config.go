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

const (
	clusterLabel = "masthill"
)

func (p *Peers) memberlistConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Keyring, c.Label = p.options.Name, p.transport, p.ring, clusterLabel
	c.GossipVerifyIncoming, c.GossipVerifyOutgoing = true, true
	own := p.transport.addr()
	c.BindAddr, c.BindPort = own.IP.String(), own.Port
	if host, port, err := net.SplitHostPort(p.options.Advertise); err == nil {
		c.AdvertiseAddr = host
		c.AdvertisePort, _ = strconv.Atoi(port)
	}
	c.ProbeInterval, c.ProbeTimeout = 500*time.Millisecond, 200*time.Millisecond
	c.GossipInterval, c.GossipNodes = 200*time.Millisecond, 3
	c.PushPullInterval, c.TCPTimeout = 15*time.Second, 2*time.Second
	c.EnableCompression = false // messages are short
	c.UDPBufferSize = 1400
	c.DeadNodeReclaimTime = 5 * time.Second // a name may come back at another address
	c.Delegate, c.Events, c.Conflict, c.Alive = (*delegate)(p), (*delegate)(p), (*delegate)(p), (*delegate)(p)
	c.Logger = stdlog.New(logWriter{p.log}, "", 0)
	return c
}

// logWriter passes the library's lines on: what it warns of is told as what it is, the rest at debug.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "[ERR]") {
		w.log.Info("membership", "reason", "library", "text", text)
	} else {
		w.log.Debug("membership", "text", text)
	}
	return len(b), nil
}
