package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/host"
	"masthill/lab/standin"
)

const (
	// replacedCallLength is how long calls stand in a replacement, longer than the whole run.
	replacedCallLength = 30 * time.Second
	// unlistedPeriod is how long the list names the old office after a new one has taken its address.
	unlistedPeriod = 2 * time.Second
	// releaseTime is how long after the list's change calls of the old office may stand.
	releaseTime = time.Second
)

// ReplacementResult is what a replacement measured.
type ReplacementResult struct {
	Good     ClientResult `json:"good"`
	Standing int          `json:"standing"` // calls at the new office when the list changed
	Left     int          `json:"left"`     // of these, what still stands there though its caller was told of its end
}

// RunReplacement measures what becomes of calls when an office dies and another one comes up at its address: until the list
// tells, the instance takes the new one for the old one.
func RunReplacement(ctx context.Context, o Options) (r ReplacementResult, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	offices := newOffices(o.OfficeTime)
	offices.callLength = replacedCallLength
	addr, err := offices.listen(ctx, g)
	if err != nil {
		return r, err
	}
	old := standin.Entry{ID: fmt.Sprintf("s-%08x", 160), Addr: addr, State: "SERVING", Weight: 4}
	list, err := standin.NewListService([]standin.Entry{old}, nil)
	if err != nil {
		return r, err
	}
	g.Go(func() error { return list.Run(ctx) })
	t, instance, err := startInstance(ctx, o, list, 1)
	if err != nil {
		return r, err
	}
	defer instance.Stop(true)
	good := goodClient(o, t)
	if err := good.Start(); err != nil {
		return r, err
	}
	time.Sleep(warmUp)
	offices.die()
	time.Sleep(unlistedPeriod)
	standing := offices.standingCalls()
	old.State = "DELETED"
	list.AnnounceChange(old, 0)
	list.AnnounceChange(standin.Entry{ID: fmt.Sprintf("s-%08x", 161), Addr: addr, State: "SERVING", Weight: 4}, 0)
	time.Sleep(releaseTime)
	r.Standing, r.Left = len(standing), offices.stillStanding(standing)
	if err := good.Wait(); err != nil {
		return r, fmt.Errorf("good client: %w", err)
	}
	return r, json.Unmarshal(good.Stdout.(*bytes.Buffer).Bytes(), &r.Good)
}

// startInstance starts the instance under test with the offices on a list.
func startInstance(ctx context.Context, o Options, list *standin.ListService, cells int) (*target, *host.Instance, error) {
	wsAddr, err := freeAddress()
	if err != nil {
		return nil, nil, err
	}
	config := host.PlatformConfig(instanceName, 0, host.Site{Instances: 1, Servers: cells, Planned: 100}, list.Addr(), o.Seed)
	settings := fmt.Sprintf("[callws]\nlisten = %q\n[callws.callers]\n%s = %q\n%s = %q\n", wsAddr, goodIdentity, goodToken, hostileIdentity, hostileToken)
	instance := &host.Instance{Name: instanceName, Dir: o.Dir, Program: o.Program, Settings: settings, Config: config}
	sipAddr, err := instance.Start(ctx, list.KnownList())
	if err != nil {
		return nil, nil, err
	}
	return &target{sip: sipAddr, ws: wsAddr, clients: o.Clients}, instance, nil
}

// die resets all connections and forgets all calls, as a process that is killed does. What connects from then on meets another
// process at the same address.
func (o *offices) die() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.standing)
	for c := range o.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}
