package peers

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// Of two members, neither counts more received datagrams or bytes than the other one counts as sent.
func TestTrafficIsCounted(t *testing.T) {
	a := startMember(t, Options{Name: "a"})
	b := startMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	waitUntil(t, "a and b have exchanged datagrams and streams", func() bool {
		ta, tb := a.Traffic(), b.Traffic()
		return ta.ReceivedDatagrams > 10 && tb.ReceivedDatagrams > 10 && ta.ReceivedStreamBytes > 0 && tb.ReceivedStreamBytes > 0
	})
	b.stop()
	a.stop()
	ta, tb := a.Status().Traffic, b.Status().Traffic
	if ta.ReceivedDatagrams > tb.SentDatagrams || tb.ReceivedDatagrams > ta.SentDatagrams || ta.ReceivedDatagramBytes > tb.SentDatagramBytes ||
		ta.ReceivedStreamBytes > tb.SentStreamBytes || tb.ReceivedStreamBytes > ta.SentStreamBytes {
		t.Errorf("more was received than sent: %+v, %+v", ta, tb)
	}
	if ta.Streams < 1 || tb.Streams < 1 || ta.SentDatagramBytes < ta.SentDatagrams {
		t.Errorf("%+v, %+v", ta, tb)
	}
	if a.Status().Deaths != 0 {
		t.Error("a member that left on purpose counts as a death")
	}
}

// Options.Reachable can partition two members, and they find each other again afterwards.
func TestPartitionByReachable(t *testing.T) {
	var cut atomic.Bool
	reachable := func(netip.AddrPort) bool { return !cut.Load() }
	a := startMember(t, Options{Name: "a", Reachable: reachable})
	b := startMember(t, Options{Name: "b", Reachable: reachable, Seeds: []string{a.Addr()}})
	waitUntil(t, "a and b see each other", func() bool { return a.hasMember("b", Alive) && b.hasMember("a", Alive) })
	cut.Store(true)
	waitUntil(t, "a and b see each other as gone", func() bool { return a.hasMember("b", Gone) && b.hasMember("a", Gone) })
	if a.Status().Deaths != 1 {
		t.Errorf("%d deaths", a.Status().Deaths)
	}
	cut.Store(false)
	waitUntil(t, "a and b see each other again", func() bool { return a.hasMember("b", Alive) && b.hasMember("a", Alive) })
}

// An IPv4 address is passed to Reachable in the same form, whether it comes from an IPv4 or an IPv6 socket.
func TestReachableGetsUnmappedAddresses(t *testing.T) {
	r := Reachable(func(a netip.AddrPort) bool { return a.String() != "127.0.0.1:9" })
	if !r.blocks(netip.MustParseAddrPort("[::ffff:127.0.0.1]:9")) || r.blocks(netip.MustParseAddrPort("127.0.0.2:9")) || Reachable(nil).blocks(netip.AddrPort{}) {
		t.Error("wrong addresses are blocked")
	}
}

// ClockSlowdown stretches the library's times and the package's own, and changes nothing where it is not set.
func TestClockSlowdown(t *testing.T) {
	normal, slow := Options{}, Options{ClockSlowdown: 4}
	c, d := normal.stretchConfig(memberlist.DefaultLANConfig()), slow.stretchConfig(memberlist.DefaultLANConfig())
	if d.ProbeInterval != 4*c.ProbeInterval || d.GossipInterval != 4*c.GossipInterval || d.PushPullInterval != 4*c.PushPullInterval {
		t.Errorf("%v and %v", c, d)
	}
	if normal.stretched(time.Second) != time.Second || slow.stretched(time.Second) != 4*time.Second {
		t.Error("times are not stretched")
	}
}
