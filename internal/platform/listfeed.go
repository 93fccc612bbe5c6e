package platform

import (
	"net/netip"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
)

// The coordinator sends a frame every second. Soon after the connection closes or goes silent, the platform counts
// further updates as delivered, so a silent connection is replaced at once. Further retries follow after a short delay.
const (
	listSilenceTimeout = 1800 * time.Millisecond
	listDialTimeout    = time.Second
	listRetryMin       = 50 * time.Millisecond  // doubled on each further retry
	listRetryMax       = 800 * time.Millisecond // upper limit of the retry delay
)

// discoveryClient is the client of the coordinator's exchange list.
type discoveryClient struct {
	core         *Core
	addr         netip.AddrPort
	decoder      coordinator.Decoder
	conn         ConnID // 0 if there is none
	up           bool
	lastReceived time.Duration
	retryDelay   time.Duration
}

func (d *discoveryClient) start(c *Core, last uint64) {
	d.core, d.addr, d.decoder.LastIndex = c, c.cfg.Coordinator, last
	d.connect()
}

func (d *discoveryClient) connect() {
	d.decoder.Reset()
	d.up, d.lastReceived = false, d.core.now
	d.conn = d.core.dial(d.addr, listDialTimeout)
}

// connectionLost reconnects: at once if the connection had worked, else after a retry delay.
func (d *discoveryClient) connectionLost() {
	d.conn = 0
	if d.up && d.retryDelay == 0 {
		d.retryDelay = listRetryMin
		d.connect()
		return
	}
	wait := max(d.retryDelay, listRetryMin)
	d.retryDelay = min(2*wait, listRetryMax)
	d.core.after(d.core.jitter(wait), func() {
		if d.conn == 0 {
			d.connect()
		}
	})
}

// drop closes the connection and opens a new one.
func (d *discoveryClient) drop(reason string) {
	d.core.logLine("coordinator " + d.addr.String() + ": " + reason + ", reconnecting")
	d.core.close(d.conn, false)
	d.connectionLost()
}

func (d *discoveryClient) checkSilence() {
	if d.conn != 0 && d.up && d.core.now-d.lastReceived > listSilenceTimeout {
		d.drop("silent")
	}
}

func (d *discoveryClient) connected() {
	d.up, d.lastReceived = true, d.core.now
	d.core.write(d.conn, func(b []byte) []byte { return append(b, d.decoder.Hello()...) })
}

func (d *discoveryClient) receive(b []byte) {
	d.lastReceived = d.core.now
	events, err := d.decoder.Push(b)
	if len(events) > 0 || err == nil {
		d.retryDelay = 0
	}
	d.core.applyList(decide.ListFull, events)
	if err != nil {
		d.decoder.AllowGap = err == coordinator.ErrMissingEvents && !d.decoder.AllowGap
		d.drop(err.Error())
	}
}

// SetCoordinator switches to another address of the coordinator. Event indexes continue there.
func (c *Core) SetCoordinator(now time.Duration, addr netip.AddrPort) {
	c.advanceClock(now)
	if addr == c.discovery.addr {
		return
	}
	c.logLine("coordinator address changed to " + addr.String())
	c.discovery.addr = addr
	if c.discovery.conn != 0 {
		c.close(c.discovery.conn, false)
	}
	c.discovery.retryDelay = 0
	c.discovery.connect()
}
