// Package platform is one signalling proxy on the users' platform, without I/O: callers and switches that speak JSON
// lines, the coordinator's list, calls, attempts and standing calls. It gives the decision module the events that the
// simulator would, and carries out its actions; it decides no route, no refusal by load and no wait.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"pipitring/internal/coordinator"
	"pipitring/internal/wire"
)

// Config is what a proxy is told at its start.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Coordinator netip.AddrPort
	Seed        uint64
	Cores       float64
	Memory      int64 // bytes; 0 is no limit
	Sockets     int   // descriptors
	Setup       wire.InstanceSettings
	KnownEvents []coordinator.Event
	LastIndex   uint64 // number of the last event known
}

const leastSockets = 64 // descriptors; with fewer nothing sensible can be held

// ParseConfig reads a configuration; an error names the key. Unknown keys are ignored.
func ParseConfig(text []byte) (*Config, error) {
	var t struct {
		Name        string `json:"name"`
		Listen      string `json:"listen"`
		Seed        string `json:"seed"`
		Coordinator string `json:"coordinator"`
		Limits      struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{Name: t.Name, Cores: t.Limits.Cores, Memory: int64(t.Limits.MemoryMB * (1 << 20)), Sockets: t.Limits.Sockets}
	var errs [5]error
	c.Listen, errs[0] = address("listen", t.Listen)
	c.Coordinator, errs[1] = address("coordinator", t.Coordinator)
	if c.Seed, errs[2] = strconv.ParseUint(t.Seed, 16, 64); errs[2] != nil {
		errs[2] = fmt.Errorf("seed: %q is not a number of 64 bits in hex digits", t.Seed)
	}
	switch {
	case len(t.Settings) == 0:
		errs[3] = errors.New("settings: missing")
	default:
		c.Setup, errs[3] = wire.ParseSettings(t.Settings)
	}
	if len(t.Known) > 0 {
		c.KnownEvents, c.LastIndex, errs[4] = coordinator.ParseSnapshot(t.Known, c.Setup.ZoneNames)
	}
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	if c.Sockets < leastSockets {
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, leastSockets)
	}
	return c, nil
}

func address(key, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return a, fmt.Errorf("%s: %q is not an IPv4 address with a port", key, text)
	}
	return a, nil
}

// budget is the number of descriptors that callers may hold together: what is left when the listener, the
// coordinator, each switch's connections and a few that change hands are taken off.
func (c *Config) budget(switches int) int {
	return max(leastCallers, c.Sockets-ownSockets-maxLinks*switches)
}

const (
	ownSockets   = 56 // standard streams, poller, listener, coordinator, connections that change hands or end gently
	leastCallers = 16
	maxLinks     = 4 // connections to one switch that a report comes on

	clockAhead = time.Hour // starts before our own are still after 0 on the module's clock
)
