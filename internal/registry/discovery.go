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

// DiscoveryClient is a Source that polls a service-discovery API by blocking queries in the form of Consul's health API:
// GET /v1/health/service/NAME?index=N&wait=W responds when the index has passed N, or after W, with X-Consul-Index.
//
// The metadata of an instance hold what Consul has no field for: number, zone, started (RFC 3339) and switch. The phase is
// removed while a check is critical, draining while a check is at warning or the instance is under maintenance, else
// ready.
type DiscoveryClient struct {
	URL       string // such as http://127.0.0.1:8500
	Service   string
	QueryWait time.Duration // longest time that one query blocks at the server
	Client    *http.Client  // nil: Run creates its own
}

const (
	minRetryDelay    = 200 * time.Millisecond // delay after a first failed query, before jitter; doubled after each further one
	maxRetryDelay    = 10 * time.Second       // upper limit of the retry delay, before jitter
	maxResponseBytes = 8 << 20                // size limit of a response body
)

// Run queries the API until ctx ends. Failed queries are reported to onError and retried with exponential back-off.
func (c DiscoveryClient) Run(ctx context.Context, onUpdate func(List), onError func(error)) {
	client := c.Client
	if client == nil {
		t := &http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute}
		defer t.CloseIdleConnections()
		client = &http.Client{Transport: t, Timeout: c.QueryWait + c.QueryWait/4 + 5*time.Second}
	}
	var p Poller
	for ctx.Err() == nil {
		l, err := c.query(ctx, client, p.Index())
		if err != nil && ctx.Err() != nil {
			return
		}
		changed, wait := p.HandleResponse(l, err, rand.N[time.Duration])
		if err != nil {
			onError(err)
		}
		if changed {
			onUpdate(l)
		}
		if wait > 0 {
			sleep(ctx, wait)
		}
	}
}

// Poller tracks the index of blocking queries and decides which responses are updates and when to query again. The zero
// value has received no response.
type Poller struct {
	index      uint64
	retryDelay time.Duration
}

// Index returns the index that the next query blocks on; 0 means that it does not block.
func (p *Poller) Index() uint64 { return p.index }

// HandleResponse processes the response to a query, or its error. It returns whether the list is an update, and how long to
// wait before the next query; random returns a random duration below its argument.
func (p *Poller) HandleResponse(l List, err error, random func(time.Duration) time.Duration) (changed bool, wait time.Duration) {
	if err != nil {
		p.retryDelay = min(max(2*p.retryDelay, minRetryDelay), maxRetryDelay)
		return false, p.retryDelay/2 + random(p.retryDelay)
	}
	p.retryDelay = 0
	switch {
	case l.Index == p.index:
		return false, 0 // the query timed out at the server without a change
	case l.Index < p.index:
		p.index = 0 // the server restarted: its list is valid, but the next query must not block on the old index
	default:
		p.index = l.Index
	}
	return true, 0
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// healthEntry is one element of a health response; fields that are not used are omitted.
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

// query makes one blocking query.
func (c DiscoveryClient) query(ctx context.Context, client *http.Client, index uint64) (List, error) {
	q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {c.QueryWait.String()}}
	u := strings.TrimSuffix(c.URL, "/") + "/v1/health/service/" + url.PathEscape(c.Service) + "?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return List{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", c.URL, err)
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("%s: %s", c.URL, resp.Status)
	}
	newIndex, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return List{}, fmt.Errorf("%s: X-Consul-Index %q is not a number", c.URL, resp.Header.Get("X-Consul-Index"))
	}
	var entries []healthEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return List{}, fmt.Errorf("%s: %w", c.URL, err)
	}
	return parseHealth(max(newIndex, 1), entries)
}

// parseHealth converts a health response to a list. All invalid entries are reported.
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
	errs = append(errs, l.validate())
	l.sort()
	return l, errors.Join(errs...)
}

// entry converts an instance to a list entry.
func (h *healthEntry) entry() (e Entry, err error) {
	s := &h.Service
	e = Entry{ID: s.ID, Zone: s.Meta["zone"], Phase: decide.Ready}
	if e.Number, err = strconv.Atoi(s.Meta["number"]); err != nil {
		return e, fmt.Errorf("number %q is not a number", s.Meta["number"])
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
	var started timestamp
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
