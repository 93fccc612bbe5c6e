package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"pipitring/internal/capture"
)

// ListEntry is an exchange list entry of one processor.
type ListEntry struct {
	ID       string
	Exchange int
	Zone     string
	Phase    string // ready, draining or gone
	Started  time.Time
	Switch   netip.AddrPort
}

// DiscoveryServer simulates service discovery: the published form of Consul's health API with blocking queries.
// Each router has its own path (/router/3), since it knows the others by its own addresses, and can be sent
// updates late.
type DiscoveryServer struct {
	srv  *http.Server
	ln   net.Listener
	tap  *capture.Writer
	addr func(viewer, exchange int) netip.AddrPort
	wg   sync.WaitGroup

	mu          sync.Mutex
	index       uint64
	views       map[int]*view
	unavailable bool
	stopped     chan struct{}
}

// view is the exchange list as one router sees it.
type view struct {
	index         uint64
	entries       []ListEntry
	changed       chan struct{}
	lag           time.Duration
	lastPublished time.Time // when the newest list becomes visible, so that updates stay in order
}

// NewDiscoveryServer starts a server. addr returns the address by which the router viewer knows an exchange.
func NewDiscoveryServer(tap *capture.Writer, addr func(viewer, exchange int) netip.AddrPort) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &DiscoveryServer{ln: ln, tap: tap, addr: addr, views: map[int]*view{}, stopped: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /router/{router}/v1/health/service/exchange", s.serve)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.wg.Go(func() { _ = s.srv.Serve(ln) }) // ends with Close
	return s, nil
}

// URL returns the base URL for a router.
func (s *DiscoveryServer) URL(router int) string {
	return fmt.Sprintf("http://%v/router/%d", s.ln.Addr(), router)
}

// Close stops the server.
func (s *DiscoveryServer) Close() {
	close(s.stopped)
	_ = s.srv.Close()
	s.wg.Wait()
}

// viewOf returns the view of a router. It must be called with the lock held.
func (s *DiscoveryServer) viewOf(router int) *view {
	v := s.views[router]
	if v == nil {
		v = &view{changed: make(chan struct{})}
		s.views[router] = v
	}
	return v
}

// SetLag sets the delay after which a router sees the updates that are published from now on.
func (s *DiscoveryServer) SetLag(router int, d time.Duration) {
	s.mu.Lock()
	s.viewOf(router).lag = d
	s.mu.Unlock()
}

// SetUnavailable makes the server answer all queries, including blocked ones, with an error, or makes it answer them normally
// again.
func (s *DiscoveryServer) SetUnavailable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = on
	for _, v := range s.views {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// Publish publishes an exchange list to routers 0 to routers-1, each after its lag.
func (s *DiscoveryServer) Publish(routers int, entries []ListEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	index := s.index
	for n := range routers {
		v := s.viewOf(n)
		at := time.Now().Add(v.lag)
		if at.Before(v.lastPublished) {
			at = v.lastPublished
		}
		v.lastPublished = at
		publish := func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if index <= v.index {
				return
			}
			v.index, v.entries = index, entries
			close(v.changed)
			v.changed = make(chan struct{})
		}
		if wait := time.Until(at); wait > 0 {
			time.AfterFunc(wait, publish)
		} else {
			s.mu.Unlock()
			publish()
			s.mu.Lock()
		}
	}
}

// health is an element of a response in the published form.
type health struct {
	Service service `json:"Service"`
	Checks  []check `json:"Checks"`
}

type service struct {
	ID      string            `json:"ID"`
	Service string            `json:"Service"`
	Address string            `json:"Address"`
	Port    uint16            `json:"Port"`
	Meta    map[string]string `json:"Meta"`
}

type check struct {
	CheckID string `json:"CheckID"`
	Status  string `json:"Status"`
}

// serve answers a blocking query of a router.
func (s *DiscoveryServer) serve(w http.ResponseWriter, req *http.Request) {
	router, err := strconv.Atoi(req.PathValue("router"))
	if err != nil {
		http.Error(w, "router: not a number", http.StatusBadRequest)
		return
	}
	after, _ := strconv.ParseUint(req.URL.Query().Get("index"), 10, 64) // a missing index is 0, as in Consul
	wait, err := time.ParseDuration(req.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = 5 * time.Minute
	}
	index, entries, ok := s.await(req.Context(), router, after, wait)
	if !ok {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	var out []health
	list := capture.List{Router: router}
	for _, e := range entries {
		a := s.addr(router, e.Exchange)
		switchAddr := ""
		if e.Switch.IsValid() {
			switchAddr = e.Switch.String()
		}
		status := map[string]string{"ready": "passing", "draining": "warning", "gone": "critical"}[e.Phase]
		out = append(out, health{service{e.ID, "exchange", a.Addr().String(), a.Port(), map[string]string{
			"number": strconv.Itoa(e.Exchange), "zone": e.Zone, "started": e.Started.Format(time.RFC3339Nano),
			"switch": switchAddr}}, []check{{"processor", status}}})
		list.Phases = append(list.Phases, capture.Phase{ID: e.ID, Exchange: e.Exchange, Phase: e.Phase})
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if s.tap != nil && index > after {
		s.tap.Notice(time.Now(), capture.Notice{List: &list})
	}
	_ = json.NewEncoder(w).Encode(out) // a router that closed the connection asks again
}

// await blocks until the router's view is newer than an index.
func (s *DiscoveryServer) await(ctx context.Context, router int, after uint64, wait time.Duration) (uint64, []ListEntry, bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		v := s.viewOf(router)
		index, entries, changed, unavailable := v.index, v.entries, v.changed, s.unavailable
		s.mu.Unlock()
		if unavailable {
			return 0, nil, false
		}
		if index > after {
			return index, entries, true
		}
		select {
		case <-changed:
		case <-limit.C:
			return max(index, 1), entries, index > 0
		case <-ctx.Done():
			return 0, nil, false
		case <-s.stopped:
			return 0, nil, false
		}
	}
}
