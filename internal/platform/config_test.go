package platform

import (
	"net/netip"
	"testing"

	"pipitring/internal/standin"
)

// TestConfigKeys guards against a configuration key that changes with the Go name of its field. Unknown keys are
// ignored and most keys are optional, so no other test would fail.
func TestConfigKeys(t *testing.T) {
	listen, coordinator := netip.MustParseAddrPort("127.0.0.2:5060"), netip.MustParseAddrPort("127.0.0.3:5061")
	c, err := ParseConfig(standin.PlatformConfig(listen, coordinator, 70, netip.MustParseAddrPort("127.0.0.4:5062")))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != listen || c.Coordinator != coordinator || c.Seed != 1 || c.Cores != 1 || c.MemoryLimit != 64<<20 ||
		c.MaxDescriptors != 70 || c.LastIndex != 1 || len(c.KnownEvents) != 1 || len(c.Setup.Settings.Classes) != 1 {
		t.Errorf("read %+v", c)
	}
}
