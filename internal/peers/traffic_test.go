package peers

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// What one sends the other gets, in datagrams and over streams.
func TestTrafficIsCounted(t *testing.T) {
	a := begin(t, Options{Name: "a"})
	b := begin(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	until(t, "they have talked", func() bool {
		ta, tb := a.Traffic(), b.Traffic()
		return ta.ReceivedDatagrams > 10 && tb.ReceivedDatagrams > 10 && ta.ReceivedStreamBytes > 0 && tb.ReceivedStreamBytes > 0
	})
	b.end()
	a.end()
	ta, tb := a.Status().Traffic, b.Status().Traffic
	if ta.ReceivedDatagrams > tb.SentDatagrams || tb.ReceivedDatagrams > ta.SentDatagrams || ta.ReceivedDatagramBytes > tb.SentDatagramBytes ||
		ta.ReceivedStreamBytes > tb.SentStreamBytes || tb.ReceivedStreamBytes > ta.SentStreamBytes {
		t.Errorf("more was received than sent: %+v, %+v", ta, tb)
	}
	if ta.Streams < 1 || tb.Streams < 1 || ta.SentDatagramBytes < ta.SentDatagrams {
		t.Errorf("%+v, %+v", ta, tb)
	}
	if a.Status().Deaths != 0 {
		t.Error("one that left on purpose counts as a death")
	}
}

// A cut by Options.Reach parts two members, and they find each other again after it.
func TestACutByReachParts(t *testing.T) {
	var cut atomic.Bool
	reach := func(netip.AddrPort) bool { return !cut.Load() }
	a := begin(t, Options{Name: "a", Reachable: reach})
	b := begin(t, Options{Name: "b", Reachable: reach, Seeds: []string{a.Addr()}})
	until(t, "they meet", func() bool { return a.sees("b", Alive) && b.sees("a", Alive) })
	cut.Store(true)
	until(t, "they part", func() bool { return a.sees("b", Gone) && b.sees("a", Gone) })
	if a.Status().Deaths != 1 {
		t.Errorf("%d deaths", a.Status().Deaths)
	}
	cut.Store(false)
	until(t, "they meet again", func() bool { return a.sees("b", Alive) && b.sees("a", Alive) })
}

// An IPv4 address reads the same from a socket of either family.
func TestReachSeesPlainAddresses(t *testing.T) {
	r := Reachable(func(a netip.AddrPort) bool { return a.String() != "127.0.0.1:9" })
	if !r.cut(netip.MustParseAddrPort("[::ffff:127.0.0.1]:9")) || r.cut(netip.MustParseAddrPort("127.0.0.2:9")) || Reachable(nil).cut(netip.AddrPort{}) {
		t.Error("the wrong ones are cut")
	}
}

// A slower clock stretches the library's times alike, and changes nothing where it is off.
func TestASlowerClock(t *testing.T) {
	usual, slow := Options{}, Options{ClockSlowdown: 4}
	c, d := usual.slow(memberlist.DefaultLANConfig()), slow.slow(memberlist.DefaultLANConfig())
	if d.ProbeInterval != 4*c.ProbeInterval || d.GossipInterval != 4*c.GossipInterval || d.PushPullInterval != 4*c.PushPullInterval {
		t.Errorf("%v and %v", c, d)
	}
	if usual.slowed(time.Second) != time.Second || slow.slowed(time.Second) != 4*time.Second {
		t.Error("times are not stretched")
	}
}
