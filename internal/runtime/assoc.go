package runtime

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"pipitring/internal/config"
	"pipitring/internal/front/isupfront"
)

const (
	dialTimeout       = 3 * time.Second        // for the TCP connection of an association
	minReconnectDelay = 200 * time.Millisecond // delay before a first reconnect, before jitter; doubled for each further one
	maxReconnectDelay = 10 * time.Second       // upper limit of the reconnect delay, before jitter
	stableAfter       = 5 * time.Second        // lifetime of an association that resets the reconnect delay
	maxOutboundBytes  = 1 << 20                // unsent bytes at which the connection of a peer that does not read is closed
)

// assocContext is the state of a TCP connection, which carries one M3UA association.
type assocContext struct {
	exchange int // exchange that we connected to; -1 if the peer connected to us
	id       isupfront.ConnID
	closed   chan struct{} // closed when the connection has closed; nil if nobody waits for that
}

// OnOpen registers a new connection as an association. It runs on the event loop, as all gnet callbacks do.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	st, ok := c.Context().(*assocContext)
	if !ok {
		st = &assocContext{exchange: -1}
		c.SetContext(st)
	}
	s.lastConn++
	st.id = s.lastConn
	s.conns[st.id] = c
	now := s.now()
	s.node.ISUP().Connected(now, st.id, st.exchange)
	s.finishTurn(now)
	return nil, gnet.None
}

// OnClose removes the association of a closed connection.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	st, ok := c.Context().(*assocContext)
	if !ok {
		return gnet.None
	}
	delete(s.conns, st.id)
	now := s.now()
	s.node.ISUP().Disconnected(now, st.id)
	s.node.Pump(now)
	s.finishTurn(now)
	if st.closed != nil {
		close(st.closed)
	}
	s.log.Info("association closed", zap.Int("exchange", st.exchange), zap.Error(err))
	return gnet.None
}

// onAssociationData processes bytes received on an association.
func (s *Server) onAssociationData(c gnet.Conn, st *assocContext) gnet.Action {
	now := s.now()
	b, err := c.Next(-1)
	if err == nil && len(b) > 0 {
		s.node.ISUP().Receive(now, st.id, b)
		s.node.Pump(now)
	}
	s.finishTurn(now)
	return gnet.None
}

// flushAssociations writes the pending output of all associations. The connection of a peer that does not read is closed
// once maxOutboundBytes are unsent.
func (s *Server) flushAssociations() {
	s.node.ISUP().Outgoing(func(id isupfront.ConnID, b []byte) {
		c := s.conns[id]
		if c == nil {
			return
		}
		if _, err := c.Write(b); err != nil || c.OutboundBuffered() > maxOutboundBytes {
			_ = c.Close() // OnClose follows
		}
	}, func(id isupfront.ConnID) {
		if c := s.conns[id]; c != nil {
			_ = c.Close()
		}
	})
}

// maintainAssociation keeps an association to an exchange: it connects, and reconnects after each loss, until ctx ends.
func (s *Server) maintainAssociation(ctx context.Context, exchange int, to string) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		if err := s.associate(ctx, exchange, to); err != nil && ctx.Err() == nil {
			s.log.Warn("association", zap.Int("exchange", exchange), zap.String("to", to), zap.Error(err))
		}
		if time.Since(startedAt) > stableAfter {
			delay = minReconnectDelay
		}
		timer := time.NewTimer(delay/2 + rand.N(delay))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		delay = min(2*delay, maxReconnectDelay)
	}
}

// associate connects to an exchange, passes the connection to the event loop and returns when it has closed.
func (s *Server) associate(ctx context.Context, exchange int, to string) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp4", to)
	if err != nil {
		return err
	}
	st := &assocContext{exchange: exchange, closed: make(chan struct{})}
	res, err := s.loop.Enroll(gnet.NewContext(context.Background(), st), conn)
	if err != nil {
		conn.Close()
		return err
	}
	if r := <-res; r.Err != nil {
		conn.Close()
		return r.Err
	}
	select {
	case <-st.closed:
	case <-s.done:
	}
	return nil
}

// startAssociations starts a goroutine for each association that this end has to establish according to the settings.
func (s *Server) startAssociations(ctx context.Context) {
	for _, g := range s.set.ISUPGroups() {
		if g.Front != config.FrontISUP {
			continue
		}
		for _, a := range g.Connect {
			s.background.Go(func() { s.maintainAssociation(ctx, g.To, a.String()) })
		}
	}
}
