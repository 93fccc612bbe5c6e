package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pipitring/decide"
)

// DiscoveryClient asks a register for the list by blocking queries, in the form of Consul's health API: GET
// /v1/health/service/NAME?index=N&wait=W answers when its index has passed N, with X-Consul-Index.
//
// An instance's metadata hold what Consul has no field for: number, zone, started (RFC 3339) and switch. Its
// phase is gone while a check is critical, draining while one warns or it is under maintenance, else ready.
type DiscoveryClient struct {
	URL     string // such as http://127.0.0.1:8500
	Service string
	Wait    time.Duration // of one query
	Client  *http.Client  // nil is one of its own
}

const (
	firstPause  = 200 * time.Millisecond // after a failed query, doubling,
	longestWait = 10 * time.Second       // up to this
	answerLimit = 8 << 20                // bytes of one answer
)

// Run asks until ctx ends.
func (r DiscoveryClient) Run(ctx context.Context, told func(List), fault func(error)) {
	client := r.Client
	if client == nil {
		t := &http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute}
		defer t.CloseIdleConnections()
		client = &http.Client{Transport: t, Timeout: r.Wait + r.Wait/4 + 5*time.Second}
	}
	var p Poller
	for ctx.Err() == nil {
		l, err := r.ask(ctx, client, p.Index())
		if err != nil && ctx.Err() != nil {
			return
		}
		tell, wait := p.HandleAnswer(l, err, rand.N[time.Duration])
		if err != nil {
			fault(err)
		}
		if tell {
			told(l)
		}
		if wait > 0 {
			sleep(ctx, wait)
		}
	}
}

// Poller decides what a register is asked next and what of its answers is news. The zero value has heard nothing.
type Poller struct {
	index uint64
	pause time.Duration
}

// Index is what the next query blocks on; 0 is none.
func (p *Poller) Index() uint64 { return p.index }

// HandleAnswer takes the answer to a query, or its failure. It tells whether the list is news, and how long to wait before the
// next query; random draws a time below another.
func (p *Poller) HandleAnswer(l List, err error, random func(time.Duration) time.Duration) (tell bool, wait time.Duration) {
	if err != nil {
		p.pause = min(max(2*p.pause, firstPause), longestWait)
		return false, p.pause/2 + random(p.pause)
	}
	p.pause = 0
	switch {
	case l.Index == p.index:
		return false, 0 // the query's wait ran out
	case l.Index < p.index:
		p.index = 0 // the register started anew: its list counts, and the next query must not block on the old
	default:
		p.index = l.Index
	}
	return true, 0
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// healthEntry is one element of the answer, as far as it is used.
type healthEntry struct {
	Service struct {
		ID      string            `json:"ID"`
		Address string            `json:"Address"`
		Port    uint16            `json:"Port"`
		Meta    map[string]string `json:"Meta"`
	} `json:"Service"`
	Checks []struct {
		CheckID string `json:"CheckID"`
		Status  string `json:"Status"`
	} `json:"Checks"`
}

func (r DiscoveryClient) ask(ctx context.Context, client *http.Client, index uint64) (List, error) {
	q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {r.Wait.String()}}
	u := strings.TrimSuffix(r.URL, "/") + "/v1/health/service/" + url.PathEscape(r.Service) + "?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return List{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", r.URL, err)
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("%s: %s", r.URL, resp.Status)
	}
	at, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return List{}, fmt.Errorf("%s: X-Consul-Index %q is no number", r.URL, resp.Header.Get("X-Consul-Index"))
	}
	var entries []healthEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return List{}, fmt.Errorf("%s: %w", r.URL, err)
	}
	return parseHealth(max(at, 1), entries)
}

func parseHealth(index uint64, entries []healthEntry) (List, error) {
	l := List{Index: index}
	var errs []error
	for _, h := range entries {
		e, err := h.entry()
		if err != nil {
			errs = append(errs, fmt.Errorf("service %q: %w", h.Service.ID, err))
		}
		l.Entries = append(l.Entries, e)
	}
	errs = append(errs, l.check())
	l.sort()
	return l, errors.Join(errs...)
}

func (h *healthEntry) entry() (e Entry, err error) {
	s := &h.Service
	e = Entry{ID: s.ID, Zone: s.Meta["zone"], Phase: decide.Ready}
	if e.Number, err = strconv.Atoi(s.Meta["number"]); err != nil {
		return e, fmt.Errorf("number %q: not a number", s.Meta["number"])
	}
	ip, err := netip.ParseAddr(s.Address)
	if err != nil {
		return e, err
	}
	e.Address = netip.AddrPortFrom(ip, s.Port)
	if text := s.Meta["switch"]; text != "" {
		if e.Switch, err = netip.ParseAddrPort(text); err != nil {
			return e, err
		}
	}
	var started stamp
	if err := started.UnmarshalText([]byte(s.Meta["started"])); err != nil {
		return e, fmt.Errorf("started %q: %w", s.Meta["started"], err)
	}
	e.Started = started.Time
	for _, c := range h.Checks {
		switch {
		case strings.HasPrefix(c.CheckID, "_service_maintenance") || c.CheckID == "_node_maintenance",
			c.Status == "warning":
			if e.Phase == decide.Ready {
				e.Phase = decide.Draining
			}
		case c.Status == "critical":
			e.Phase = decide.Removed
		}
	}
	return e, nil
}
