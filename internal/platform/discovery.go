package platform

import (
	"net/netip"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
)

// Limits of the connection to the coordinator, which sends a frame every second. Soon after a connection has closed or
// stopped delivering, the platform assumes that the proxy has received later list updates all the same, so a connection
// without input is replaced at once. Further retries follow after short delays. A new connection on which nothing ever
// came is given twice the time on each further retry: a coordinator that answers late would not be heard otherwise.
const (
	coordinatorIdleTimeout   = 1800 * time.Millisecond // a connection without input for this long is replaced
	coordinatorAnswerTimeout = 8 * time.Second         // longest time for the first input on a new connection
	coordinatorDialTimeout   = time.Second             // a connection attempt fails after this
	coordinatorRetryMin      = 50 * time.Millisecond   // first retry delay; doubled on each further retry
	coordinatorRetryMax      = 800 * time.Millisecond  // upper limit of the retry delay
)

// discoveryClient receives the exchange list from the coordinator.
type discoveryClient struct {
	core          *Core
	addr          netip.AddrPort
	decoder       coordinator.Decoder
	conn          ConnID // established or being dialled; 0 if there is none
	established   bool   // conn is established
	hasAnswered   bool   // there was input on conn
	lastReceived  time.Duration
	answerTimeout time.Duration // time for the first input on conn
	retryDelay    time.Duration // next retry delay; 0 since a frame was received
}

func (d *discoveryClient) start(c *Core, last uint64) {
	d.core, d.addr, d.decoder.LastIndex = c, c.cfg.Coordinator, last
	d.answerTimeout = coordinatorIdleTimeout
	d.connect()
}

func (d *discoveryClient) connect() {
	d.decoder.Reset()
	d.established, d.hasAnswered, d.lastReceived = false, false, d.core.now
	d.conn = d.core.dial(d.addr, coordinatorDialTimeout)
}

// connectionLost reconnects: at once if the connection was established and there was input since the last retry, else
// after a retry delay.
func (d *discoveryClient) connectionLost() {
	d.conn = 0
	if d.established && d.retryDelay == 0 {
		d.retryDelay = coordinatorRetryMin
		d.connect()
		return
	}
	wait := max(d.retryDelay, coordinatorRetryMin)
	d.retryDelay = min(2*wait, coordinatorRetryMax)
	d.core.after(d.core.jitter(wait), func() {
		if d.conn == 0 {
			d.connect()
		}
	})
}

// drop closes the connection, logs the reason and reconnects.
func (d *discoveryClient) drop(reason string) {
	d.core.logLine("coordinator " + d.addr.String() + ": " + reason + ", reconnecting")
	d.core.close(d.conn, false)
	d.connectionLost()
}

func (d *discoveryClient) checkIdle() {
	if d.conn == 0 || !d.established {
		return
	}
	idle := d.core.now - d.lastReceived
	switch {
	case d.hasAnswered && idle > coordinatorIdleTimeout:
		d.drop("silent")
	case !d.hasAnswered && idle > d.answerTimeout:
		d.answerTimeout = min(2*d.answerTimeout, coordinatorAnswerTimeout)
		d.drop("no answer")
	}
}

func (d *discoveryClient) connected() {
	d.established, d.lastReceived = true, d.core.now
	d.core.write(d.conn, func(b []byte) []byte { return append(b, d.decoder.Hello()...) })
}

func (d *discoveryClient) receive(b []byte) {
	if !d.hasAnswered && d.core.now-d.lastReceived <= coordinatorIdleTimeout {
		d.answerTimeout = coordinatorIdleTimeout // it is not slow any more
	}
	d.hasAnswered, d.lastReceived = true, d.core.now
	events, err := d.decoder.Push(b)
	if len(events) > 0 || err == nil {
		d.retryDelay = 0
	}
	d.core.applyList(decide.ListFull, events)
	if err != nil {
		// If events are missing again after a reconnect, the coordinator does not have them, so the gap is accepted.
		d.decoder.AllowGap = err == coordinator.ErrMissingEvents && !d.decoder.AllowGap
		d.drop(err.Error())
	}
}

// SetCoordinator changes the address of the coordinator and reconnects. The event indexes continue there.
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
	c.discovery.retryDelay, c.discovery.answerTimeout = 0, coordinatorIdleTimeout
	c.discovery.connect()
}
