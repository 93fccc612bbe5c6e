package runtime

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"pipitring/internal/platform"
)

// How the core's outputs are executed on the connections.

// applyOutputs executes the core's outputs and sets the timer to the core's next wake-up.
func (p *Platform) applyOutputs(now time.Duration) {
	for outputs := p.core.Outputs(); len(outputs) > 0; outputs = p.core.Outputs() {
		for _, o := range outputs {
			p.applyOutput(o)
		}
	}
	at, ok := p.core.NextWakeUp()
	p.wake.schedule(now, at, ok)
}

func (p *Platform) applyOutput(o platform.Output) {
	switch o := o.(type) {
	case platform.Write:
		c := p.conns[o.Conn]
		if c == nil || c.Context().(*proxyConn).overLimit {
			return
		}
		p.traceEvent(o.Conn, ">", o.Bytes)
		if _, err := c.Write(o.Bytes); err == nil {
			p.limitOutbound(c, len(o.Bytes))
		}
	case platform.Close:
		p.close(o)
	case platform.Dial:
		p.traceEvent(o.Conn, "dial", []byte(o.To.String()))
		p.handovers.Go(func() { p.dial(o) })
	case platform.LogLine:
		p.log.Info(o.Text)
	case platform.Exit:
		p.log.Info("shutdown complete: no calls left")
		p.exiting.Store(true)
		p.stopWhenFlushed(p.now() + flushTimeout)
	}
}

// stopWhenFlushed stops the proxy once all buffered bytes are written, at the deadline at the latest: a slow reader may
// not have received its answers yet.
func (p *Platform) stopWhenFlushed(deadline time.Duration) {
	pending := false
	for _, c := range p.conns {
		pending = pending || c.OutboundBuffered() > 0
	}
	if pending && p.now() < deadline {
		time.AfterFunc(flushPollInterval, func() { p.runOnLoop(func() { p.stopWhenFlushed(deadline) }) })
		return
	}
	go func() { _ = p.Stop() }()
}

func (p *Platform) close(o platform.Close) {
	c := p.conns[o.Conn]
	if c == nil {
		return
	}
	p.traceEvent(o.Conn, "close", nil)
	delete(p.conns, o.Conn)
	e := c.Context().(*proxyConn)
	e.closedByCore = true
	if !o.Graceful || p.lingering >= maxLingering {
		_ = c.Close()
		return
	}
	e.graceful = true
	p.lingering++
	p.closeGracefully(c, e, p.now()+flushTimeout)
}

// closeGracefully shuts down the sending side once the buffered bytes are written, and closes the connection after
// lingerTime. Until then input is read and discarded, because a close with unread bytes would reset the connection and
// lose bytes that the peer has not received yet.
func (p *Platform) closeGracefully(c gnet.Conn, e *proxyConn, deadline time.Duration) {
	switch {
	case e.closedByLoop: // closed already; its descriptor may belong to another connection by now
	case c.OutboundBuffered() > 0 && p.now() < deadline:
		time.AfterFunc(flushPollInterval, func() { p.runOnLoop(func() { p.closeGracefully(c, e, deadline) }) })
	case c.OutboundBuffered() > 0 || unix.Shutdown(c.Fd(), unix.SHUT_WR) != nil:
		_ = c.Close()
	default:
		time.AfterFunc(lingerTime, func() { p.runOnLoop(func() { _ = c.Close() }) })
	}
}
