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

// ListEntry is one exchange as the register lists it.
type ListEntry struct {
	ID       string
	Exchange int
	Zone     string
	Phase    string // ready, draining or gone
	Started  time.Time
	Switch   netip.AddrPort
}

// DiscoveryServer stands in for the register: the published form of Consul's health API with blocking queries. Each
// router has a path of its own (/router/3), since it knows the others by addresses of its own, and can be told late.
type DiscoveryServer struct {
	srv  *http.Server
	ln   net.Listener
	tap  *capture.Writer
	addr func(viewer, exchange int) netip.AddrPort
	wg   sync.WaitGroup

	mu      sync.Mutex
	index   uint64
	views   map[int]*view
	gone    bool
	stopped chan struct{}
}

// view is the list as one router may know it.
type view struct {
	index   uint64
	lines   []ListEntry
	changed chan struct{}
	lag     time.Duration
	last    time.Time // when the newest list becomes known, so that none overtakes another
}

// NewDiscoveryServer starts a register; addr tells by which address a router knows an exchange.
func NewDiscoveryServer(tap *capture.Writer, addr func(viewer, exchange int) netip.AddrPort) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &DiscoveryServer{ln: ln, tap: tap, addr: addr, views: map[int]*view{}, stopped: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /router/{router}/v1/health/service/exchange", r.serve)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	r.wg.Go(func() { _ = r.srv.Serve(ln) }) // ends with Close
	return r, nil
}

// URL is where a router asks.
func (r *DiscoveryServer) URL(router int) string {
	return fmt.Sprintf("http://%v/router/%d", r.ln.Addr(), router)
}

// Close ends the register.
func (r *DiscoveryServer) Close() {
	close(r.stopped)
	_ = r.srv.Close()
	r.wg.Wait()
}

func (r *DiscoveryServer) view(router int) *view {
	v := r.views[router]
	if v == nil {
		v = &view{changed: make(chan struct{})}
		r.views[router] = v
	}
	return v
}

// Lag makes a router learn of later changes so much later.
func (r *DiscoveryServer) Lag(router int, d time.Duration) {
	r.mu.Lock()
	r.view(router).lag = d
	r.mu.Unlock()
}

// Gone makes the register answer nothing but errors, queries that wait included, or serve again.
func (r *DiscoveryServer) Gone(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = on
	for _, v := range r.views {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// Publish makes a list known, to each router after its lag.
func (r *DiscoveryServer) Publish(routers int, lines []ListEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	index := r.index
	for n := range routers {
		v := r.view(n)
		at := time.Now().Add(v.lag)
		if at.Before(v.last) {
			at = v.last
		}
		v.last = at
		show := func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if index <= v.index {
				return
			}
			v.index, v.lines = index, lines
			close(v.changed)
			v.changed = make(chan struct{})
		}
		if wait := time.Until(at); wait > 0 {
			time.AfterFunc(wait, show)
		} else {
			r.mu.Unlock()
			show()
			r.mu.Lock()
		}
	}
}

// health is an answer's element in the published form.
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

func (r *DiscoveryServer) serve(w http.ResponseWriter, q *http.Request) {
	router, err := strconv.Atoi(q.PathValue("router"))
	if err != nil {
		http.Error(w, "router: not a number", http.StatusBadRequest)
		return
	}
	after, _ := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64) // none is 0, as Consul has it
	wait, err := time.ParseDuration(q.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = 5 * time.Minute
	}
	index, lines, ok := r.await(q.Context(), router, after, wait)
	if !ok {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	var out []health
	told := capture.List{Router: router}
	for _, l := range lines {
		a := r.addr(router, l.Exchange)
		sw := ""
		if l.Switch.IsValid() {
			sw = l.Switch.String()
		}
		status := map[string]string{"ready": "passing", "draining": "warning", "gone": "critical"}[l.Phase]
		out = append(out, health{service{l.ID, "exchange", a.Addr().String(), a.Port(), map[string]string{
			"number": strconv.Itoa(l.Exchange), "zone": l.Zone, "started": l.Started.Format(time.RFC3339Nano),
			"switch": sw}}, []check{{"processor", status}}})
		told.Phases = append(told.Phases, capture.Phase{ID: l.ID, Exchange: l.Exchange, Phase: l.Phase})
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if r.tap != nil && index > after {
		r.tap.Notice(time.Now(), capture.Notice{List: &told})
	}
	_ = json.NewEncoder(w).Encode(out) // a router that left asks again
}

// await blocks until the router's view has passed an index.
func (r *DiscoveryServer) await(ctx context.Context, router int, after uint64, wait time.Duration) (uint64, []ListEntry, bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		r.mu.Lock()
		v := r.view(router)
		index, lines, changed, gone := v.index, v.lines, v.changed, r.gone
		r.mu.Unlock()
		if gone {
			return 0, nil, false
		}
		if index > after {
			return index, lines, true
		}
		select {
		case <-changed:
		case <-limit.C:
			return max(index, 1), lines, index > 0
		case <-ctx.Done():
			return 0, nil, false
		case <-r.stopped:
			return 0, nil, false
		}
	}
}
