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

// Config is the configuration that a proxy starts with.
type Config struct {
	Name           string
	Listen         netip.AddrPort
	Coordinator    netip.AddrPort
	Seed           uint64
	Cores          float64 // number of processor cores; 0 is no limit
	MemoryLimit    int64   // memory limit in bytes; 0 is no limit
	MaxDescriptors int     // largest number of file descriptors
	Setup          wire.InstanceSettings
	KnownEvents    []coordinator.Event // the exchange list at the start, from a snapshot
	LastIndex      uint64              // index of the last known event
}

const minSockets = 64 // least number of descriptors with which a proxy is useful

// ParseConfig parses a configuration in JSON. Unknown keys are ignored. An error names the invalid keys.
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
	c := &Config{Name: t.Name, Cores: t.Limits.Cores, MemoryLimit: int64(t.Limits.MemoryMB * (1 << 20)), MaxDescriptors: t.Limits.Sockets}
	var errs [5]error
	c.Listen, errs[0] = parseAddress("listen", t.Listen)
	c.Coordinator, errs[1] = parseAddress("coordinator", t.Coordinator)
	if c.Seed, errs[2] = strconv.ParseUint(t.Seed, 16, 64); errs[2] != nil {
		errs[2] = fmt.Errorf("seed: %q is not a 64-bit number in hex digits", t.Seed)
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
	if c.MaxDescriptors < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is below the minimum of %d", c.MaxDescriptors, minSockets)
	}
	return c, nil
}

func parseAddress(key, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return a, fmt.Errorf("%s: %q is not an IPv4 address with a port", key, text)
	}
	return a, nil
}

// callerBudget returns the number of descriptors available to callers' connections: the limit less the reserved
// descriptors and maxLinks for each switch, but at least minCallerDescriptors.
func (c *Config) callerBudget(switches int) int {
	return max(minCallerDescriptors, c.MaxDescriptors-reservedDescriptors-maxLinks*switches)
}

// connectTimeout returns the longest time in which a link is established.
func (c *Config) connectTimeout() time.Duration {
	if c.Setup.ConnectTimeout <= 0 {
		return defaultConnectTimeout
	}
	return c.Setup.ConnectTimeout
}

// maxAdoptedCalls returns how many adopted calls may stand: any caller can name any number of calls that the switches do
// not know. They may use a share of the memory limit.
func (c *Config) maxAdoptedCalls() int {
	if c.MemoryLimit == 0 {
		return maxAdoptedCallsUnlimited
	}
	return int(adoptedCallsShare*float64(c.MemoryLimit)) / adoptedCallBytes
}

const (
	defaultConnectTimeout = 500 * time.Millisecond // connect timeout if the settings have none

	adoptedCallsShare        = 0.125   // share of the memory limit for adopted calls
	adoptedCallBytes         = 512     // memory of one adopted call in bytes, rounded up
	maxAdoptedCallsUnlimited = 1 << 20 // adopted calls if there is no memory limit

	reservedDescriptors  = 56 // for standard streams, poller, listener, coordinator, connections being handed over or closed gracefully
	minCallerDescriptors = 16 // least number of descriptors for callers, whatever the number of switches
	maxLinks             = 4  // largest number of links to one switch; load reports arrive on each of them

	clockOffset = time.Hour // decision module's clock minus the proxy's, so that start times before the proxy's own are above 0 there
)
