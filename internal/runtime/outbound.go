package runtime

import (
	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
)

// outboundCount bounds from above what is buffered for peers that do not read. The exact figure has to be added up over
// all connections, which is done only when the bound exceeds the limit.
type outboundCount struct {
	limit int // 0 is no limit
	bound int // bytes
}

// limitOutbound closes a connection on which bytes were written and too many remain buffered. If too many are buffered
// for all callers together, the callers with the most are closed: one that reads has few.
func (p *Platform) limitOutbound(c gnet.Conn, written int) {
	buffered := c.OutboundBuffered()
	switch {
	case buffered == 0:
		return
	case buffered > maxProxyOutbound:
		closeOverLimit(c)
		return
	}
	p.outbound.bound += written
	if p.outbound.limit == 0 || p.outbound.bound <= p.outbound.limit {
		return
	}
	for p.countOutbound(); p.outbound.bound > p.outbound.limit; p.countOutbound() {
		largest := p.largestOutbound()
		if largest == nil {
			return
		}
		p.log.Warn("closing the caller that leaves the most unread: too much is buffered for all callers", zap.Int("bytes", largest.OutboundBuffered()))
		closeOverLimit(largest)
	}
}

// closeOverLimit closes a connection for what is buffered on it. OnClose follows; until then no more is written.
func closeOverLimit(c gnet.Conn) {
	c.Context().(*proxyConn).overLimit = true
	_ = c.Close()
}

// countOutbound sets the bound to what is buffered on all connections that are not being closed.
func (p *Platform) countOutbound() {
	p.outbound.bound = 0
	for _, c := range p.conns {
		if !c.Context().(*proxyConn).overLimit {
			p.outbound.bound += c.OutboundBuffered()
		}
	}
}

// largestOutbound returns the caller's connection with the most bytes buffered; nil if no caller has any.
func (p *Platform) largestOutbound() (largest gnet.Conn) {
	most := 0
	for _, c := range p.conns {
		e := c.Context().(*proxyConn)
		if n := c.OutboundBuffered(); e.caller && !e.overLimit && n > most {
			most, largest = n, c
		}
	}
	return largest
}
