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
	dialWait    = 3 * time.Second
	firstPause  = 200 * time.Millisecond // before an association is made anew, doubling
	longestWait = 10 * time.Second       // up to this, each with jitter
	steadyFor   = 5 * time.Second        // one that lasted so long was good: the pause begins anew
	heldBack    = 1 << 20                // bytes that wait in a connection for an end that does not read
)

// stream is what a TCP connection carries along: one association.
type stream struct {
	exchange int // that we connected to; -1 if the other end connected
	id       isupfront.ConnID
	closed   chan struct{} // closed when the connection is gone; nil where nobody waits
}

// OnOpen begins an association.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	st, ok := c.Context().(*stream)
	if !ok {
		st = &stream{exchange: -1}
		c.SetContext(st)
	}
	s.lastConn++
	st.id = s.lastConn
	s.conns[st.id] = c
	now := s.now()
	s.node.ISUP().Connected(now, st.id, st.exchange)
	s.settle(now)
	return nil, gnet.None
}

// OnClose ends one.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	st, ok := c.Context().(*stream)
	if !ok {
		return gnet.None
	}
	delete(s.conns, st.id)
	now := s.now()
	s.node.ISUP().Disconnected(now, st.id)
	s.node.Pump(now)
	s.settle(now)
	if st.closed != nil {
		close(st.closed)
	}
	s.log.Info("association closed", zap.Int("exchange", st.exchange), zap.Error(err))
	return gnet.None
}

// onStream takes what a connection brings.
func (s *Server) onStream(c gnet.Conn, st *stream) gnet.Action {
	now := s.now()
	b, err := c.Next(-1)
	if err == nil && len(b) > 0 {
		s.node.ISUP().Receive(now, st.id, b)
		s.node.Pump(now)
	}
	s.settle(now)
	return gnet.None
}

// flushStreams writes what the associations have to send. An end that does not read loses its association.
func (s *Server) flushStreams() {
	s.node.ISUP().Outgoing(func(id isupfront.ConnID, b []byte) {
		c := s.conns[id]
		if c == nil {
			return
		}
		if _, err := c.Write(b); err != nil || c.OutboundBuffered() > heldBack {
			_ = c.Close() // OnClose follows
		}
	}, func(id isupfront.ConnID) {
		if c := s.conns[id]; c != nil {
			_ = c.Close()
		}
	})
}

// keepAssociated makes one association and makes it anew whenever it is lost, until ctx ends.
func (s *Server) keepAssociated(ctx context.Context, exchange int, to string) {
	pause := firstPause
	for ctx.Err() == nil {
		began := time.Now()
		if err := s.associate(ctx, exchange, to); err != nil && ctx.Err() == nil {
			s.log.Warn("association", zap.Int("exchange", exchange), zap.String("to", to), zap.Error(err))
		}
		if time.Since(began) > steadyFor {
			pause = firstPause
		}
		wait := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
		pause = min(2*pause, longestWait)
	}
}

// associate connects, hands the connection to the loop and waits for its end.
func (s *Server) associate(ctx context.Context, exchange int, to string) error {
	d := net.Dialer{Timeout: dialWait}
	conn, err := d.DialContext(ctx, "tcp4", to)
	if err != nil {
		return err
	}
	st := &stream{exchange: exchange, closed: make(chan struct{})}
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

// associations starts what keeps the settings' associations.
func (s *Server) associations(ctx context.Context) {
	for _, g := range s.set.ISUPGroups() {
		if g.Front != config.FrontISUP {
			continue
		}
		for _, a := range g.Connect {
			s.side.Go(func() { s.keepAssociated(ctx, g.To, a.String()) })
		}
	}
}
