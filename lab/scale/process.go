package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// request asks a group to do something.
type request struct {
	Action  string          `json:"do"`
	Spec    *Spec           `json:"spec,omitempty"`
	Members []int           `json:"members,omitempty"`
	Pause   time.Duration   `json:"pause,omitempty"`
	Options SnapshotOptions `json:"ask"`
	Server  uint64          `json:"server,omitempty"`
	Calls   float64         `json:"calls,omitempty"`
}

// The values of request.Action.
const (
	doBegin       = "begin" // takes the Spec
	doStart       = "start"
	doStop        = "stop"
	doRestart     = "restart"
	doPartition   = "cut"
	doSilence     = "silence"
	doSetCallRate = "call"
	doSnapshot    = "look"
)

// reply is a group's answer to a request.
type reply struct {
	Error    string    `json:"error,omitempty"`
	Snapshot *Snapshot `json:"look,omitempty"`
}

// handle executes a request.
func (g *Group) handle(req request) (r reply) {
	var err error
	switch req.Action {
	case doStart:
		err = g.Start(req.Members, req.Pause)
	case doStop:
		err = g.Stop(req.Members)
	case doRestart:
		err = g.Restart(req.Members, req.Pause)
	case doPartition:
		g.Partition(req.Members)
	case doSilence:
		g.SilenceServer(req.Server)
	case doSetCallRate:
		g.SetCallRate(req.Calls)
	case doSnapshot:
		l := g.Snapshot(req.Options)
		r.Snapshot = &l
	default:
		err = fmt.Errorf("unknown request %q", req.Action)
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// Serve runs a group's process: it reads requests as JSON from in and writes a reply to each to out, until in ends.
func Serve(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	requests, replies := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	var g *Group
	for {
		var req request
		if err := requests.Decode(&req); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		r := reply{}
		switch {
		case req.Action == doBegin && req.Spec != nil:
			g = NewGroup(ctx, req.Spec)
		case g == nil:
			r.Error = "the first request must begin a fleet"
		default:
			r = g.handle(req)
		}
		if err := replies.Encode(r); err != nil {
			return err
		}
	}
}

// runner runs one group, in this process or in one of its own.
type runner interface {
	do(o request) (*Snapshot, error)
	kill() // without graceful shutdown
	close()
}

// local runs a group in this process.
type local struct {
	g    *Group
	stop context.CancelFunc
}

func newLocal(ctx context.Context, s *Spec) *local {
	ctx, stop := context.WithCancel(ctx)
	return &local{NewGroup(ctx, s), stop}
}

func (l *local) do(o request) (*Snapshot, error) {
	r := l.g.handle(o)
	if r.Error != "" {
		return nil, errors.New(r.Error)
	}
	return r.Snapshot, nil
}

// kill makes all other members unreachable first, so that the stopping members cannot announce that they leave.
func (l *local) kill() {
	none := func(int) bool { return false }
	for _, m := range l.g.allMembers() {
		m.reachable.Store(&none)
	}
	l.close()
}

func (l *local) close() {
	l.stop()
	for _, m := range l.g.allMembers() {
		<-m.done
	}
}

// remote runs a group in a process of its own.
type remote struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	in     io.WriteCloser
	out    *json.Decoder
	exited chan struct{}
}

// exitTimeout is how long a group's process may take to exit once its input has ended.
const exitTimeout = 5 * time.Second

// newRemote starts a group's process, which is killed at the latest when ctx ends. command is the program that serves the
// group, with its arguments.
func newRemote(ctx context.Context, s *Spec, command []string) (*remote, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &remote{cmd: cmd, in: in, out: json.NewDecoder(bufio.NewReader(out)), exited: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { cmd.Process.Kill() }) // it may be executing a long request
	go func() {
		cmd.Wait()
		stop()
		close(r.exited)
	}()
	if _, err := r.do(request{Action: doBegin, Spec: s}); err != nil {
		r.kill()
		return nil, err
	}
	return r, nil
}

func (r *remote) do(o request) (*Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := json.NewEncoder(r.in).Encode(o); err != nil {
		return nil, err
	}
	var back reply
	if err := r.out.Decode(&back); err != nil {
		return nil, fmt.Errorf("the process of a group ended: %w", err)
	}
	if back.Error != "" {
		return nil, errors.New(back.Error)
	}
	return back.Snapshot, nil
}

func (r *remote) kill() {
	r.cmd.Process.Kill()
	<-r.exited
}

func (r *remote) close() {
	r.in.Close()
	select {
	case <-r.exited:
	case <-time.After(exitTimeout):
		r.kill()
	}
}
