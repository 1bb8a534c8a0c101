package releases

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"masthill/control/distribution"
)

const (
	// maxConnections bounds a server's connections: twice the instances of a fleet, as instances change servers.
	maxConnections = 2048
	// headerTimeout limits the header of a request, requestTimeout all of it, idleTimeout the pause between two requests.
	headerTimeout, requestTimeout, idleTimeout = time.Second, 3 * time.Second, 10 * time.Second
	// retryPause is the pause after a failed request to another server.
	retryPause = 500 * time.Millisecond
	// serverFile is the file with the state that outlives a server's process.
	serverFile = "server.json"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Name         string // its address as configured at the other servers and the instances
	OtherServers []string
	Fleet        string
	Keys         []ed25519.PublicKey
	HaltAfter    int
	Dir          string // where releases are stored
	Log          *slog.Logger
	Now          func() int64 // nil: the system clock
}

// Server stores and serves releases.
type Server struct {
	options    ServerOptions
	fileWriter *fileWriter
	client     *Client

	mu          sync.Mutex
	replica     *distribution.Replica
	headChanged chan struct{} // closed and replaced when the head changes
	tag         string        // the tag of the head when headChanged was made
}

// NewServer creates a server from the stored state.
func NewServer(options ServerOptions) *Server {
	if options.Now == nil {
		options.Now = func() int64 { return time.Now().UnixNano() }
	}
	path := filepath.Join(options.Dir, serverFile)
	var stored distribution.StoredState
	loadFile(path, &stored, options.Log)
	s := &Server{options: options, fileWriter: newFileWriter(path, options.Log), client: NewClient(nil), headChanged: make(chan struct{}),
		replica: distribution.NewReplica(distribution.ReplicaConfig{Name: options.Name, Fleet: options.Fleet, OtherServers: options.OtherServers,
			Keys: options.Keys, HaltAfter: options.HaltAfter}, stored)}
	s.tag = headTag(s.replica.Head(options.Now()))
	return s
}

// headTag identifies the parts of a head whose change is sent to waiting polls at once.
func headTag(h distribution.Head) string {
	return fmt.Sprintf("%s/%d/%d/%t/%d", h.Server, h.Version, h.LastGood, h.Halted != "", h.Failures)
}

// Serve serves requests and follows the other servers until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: transferTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxPoll,
		ErrorLog: slog.NewLogLogger(s.options.Log.Handler(), slog.LevelDebug)}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(netutil.LimitListener(l, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	g.Go(func() error { s.fileWriter.run(ctx.Done()); return nil })
	for _, other := range s.options.OtherServers {
		g.Go(func() error { s.follow(ctx, other); return nil })
	}
	return g.Wait()
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/poll", s.handlePoll)
	mux.HandleFunc("GET /v1/releases/{version}", s.handleFetch)
	mux.HandleFunc("POST /v1/releases", func(w http.ResponseWriter, r *http.Request) {
		var release distribution.Release
		s.handleOrder(w, r, &release, func() error { return s.replica.Publish(s.options.Now(), release) })
	})
	mux.HandleFunc("POST /v1/halt", func(w http.ResponseWriter, r *http.Request) {
		var order distribution.HaltOrder
		s.handleOrder(w, r, &order, func() error { return s.replica.Halt(order) })
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		status := s.replica.Status(s.options.Now())
		s.mu.Unlock()
		writeJSON(w, status)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// decodeBody decodes the body of a request. If it fails, it has sent the error response.
func decodeBody(w http.ResponseWriter, r *http.Request, destination any, maxBytes int64) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(destination); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// handlePoll records an instance's acknowledgement, and responds once the head has changed or after pollWait.
func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request) {
	var request pollRequest
	if !decodeBody(w, r, &request, maxPoll) {
		return
	}
	s.update(func() { s.replica.Acknowledge(s.options.Now(), request.Acknowledgement) })
	wait := time.NewTimer(pollWait)
	defer wait.Stop()
	for {
		s.mu.Lock()
		response := pollResponse{Head: s.replica.Head(s.options.Now())}
		response.Tag = headTag(response.Head)
		headChanged := s.headChanged
		s.mu.Unlock()
		if response.Tag != request.Seen {
			writeJSON(w, response)
			return
		}
		select {
		case <-headChanged:
		case <-r.Context().Done():
			return
		case <-wait.C:
			request.Seen = ""
		}
	}
}

func (s *Server) handleFetch(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "no version", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	release := s.replica.Release(distribution.Version(version))
	s.mu.Unlock()
	if release == nil {
		http.Error(w, ErrNotFound.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, release)
}

// handleOrder carries out a request of an operator.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request, order any, do func() error) {
	if !decodeBody(w, r, order, maxTransfer) {
		return
	}
	var err error
	s.update(func() { err = do() })
	if err != nil {
		s.options.Log.Warn("order refused", "reason", "unfit", "peer", r.RemoteAddr, "err", err)
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// update changes the state under the lock. If the tag of the head changes, it wakes the waiting polls and saves the state.
func (s *Server) update(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	head := s.replica.Head(s.options.Now())
	tag := headTag(head)
	if tag == s.tag {
		return
	}
	s.options.Log.Info("newest release", "version", head.Version, "good", head.LastGood, "halted", head.Halted, "failures", head.Failures)
	s.tag = tag
	close(s.headChanged)
	s.headChanged = make(chan struct{})
	s.fileWriter.enqueue(s.replica.StoredState())
}

// follow follows another server until ctx ends.
func (s *Server) follow(ctx context.Context, other string) {
	seen := ""
	for ctx.Err() == nil {
		response, err := s.client.poll(ctx, other, pollRequest{Seen: seen})
		if err == nil {
			seen = response.Tag
			err = s.handleHead(ctx, other, response.Head)
		}
		if err == nil {
			continue
		}
		s.options.Log.Warn("other server", "reason", "not followed", "server", other, "err", err)
		seen = ""
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// handleHead processes the head of another server, and fetches the release that this one lacks.
func (s *Server) handleHead(ctx context.Context, other string, head distribution.Head) error {
	if head.Server != other {
		return fmt.Errorf("the server's own name is %q", head.Server)
	}
	var wanted distribution.Version
	s.update(func() { wanted = s.replica.ReceiveServerHead(s.options.Now(), head) })
	if wanted == 0 {
		return nil
	}
	release, err := s.client.Fetch(ctx, other, wanted)
	if errors.Is(err, ErrNotFound) && wanted != head.Version {
		return nil // the other server has not copied it yet
	}
	if err != nil {
		return err
	}
	s.update(func() {
		if wanted == head.Version {
			err = s.replica.Copy(s.options.Now(), release, head)
		} else {
			err = s.replica.CopyLastGood(release)
		}
	})
	if errors.Is(err, distribution.ErrNotNewer) { // it has been received from elsewhere meanwhile
		return nil
	}
	return err
}
