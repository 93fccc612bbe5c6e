// Package runtime runs a router on sockets, the monotonic clock and files. It is the only part of the router
// with I/O on the call path.
//
// One gnet event loop owns one node: datagrams, timers, news of the list and reloads are all handled on it, so
// nothing is locked. Disk and HTTP are served beside it.
package runtime

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"pipitring/internal/config"
	"pipitring/internal/front/isupfront"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
	"pipitring/internal/registry"
)

const (
	rounds     = 16               // batches read before timers are looked at again
	timerGrain = time.Millisecond // timers fire no finer than this
	doWait     = 5 * time.Second  // for something to be done on the loop
	socketRoom = 4 << 20          // bytes of the socket's buffers
)

// ErrStopped is returned by Do when the router has stopped.
var ErrStopped = errors.New("runtime: the router has stopped")

// Server is one router on a socket.
type Server struct {
	gnet.BuiltinEventEngine

	set      *config.Settings
	log      *zap.Logger
	metrics  *metrics
	node     *node.Node
	start    time.Time
	engine   gnet.Engine
	addr     netip.AddrPort
	fd       int
	batch    *batcher
	loop     gnet.EventLoop // known from the first datagram on, which we send ourselves
	wake     waker
	ready    chan struct{} // closed when the loop is known
	done     chan struct{} // closed when the loop has ended
	failed   error
	stopped  atomic.Bool
	listed   atomic.Int64 // when the list last came, on our clock; 0 is never
	draining atomic.Bool
	keep     *keeping                       // nil: no records are kept
	conns    map[isupfront.ConnID]gnet.Conn // TCP, on the loop
	lastConn isupfront.ConnID
	ended    sync.Once      // the records are closed
	side     sync.WaitGroup // what runs beside the loop
	cancel   context.CancelFunc
}

// Start opens the socket and runs a router on it until Stop.
func Start(set *config.Settings, log *zap.Logger) (*Server, error) {
	if log == nil {
		log = zap.NewNop()
	}
	s := &Server{set: set, log: log, start: time.Now(), ready: make(chan struct{}), done: make(chan struct{}),
		conns: map[isupfront.ConnID]gnet.Conn{}}
	if err := free(set.Router.Listen); err != nil {
		return nil, fmt.Errorf("listening on %v: %w", set.Router.Listen, err)
	}
	s.node = node.New(set.NodeSettings(rand.Uint64(), rand.Uint64, func(number string) bool { return s.node.Core.HasRoute(number) }))
	if err := s.openRecords(); err != nil {
		return nil, err
	}
	s.metrics = newMetrics(s)
	s.wake = newWaker(s.fire)
	go func() {
		defer close(s.done)
		err := gnet.Rotate(s, s.sockets(), gnet.WithNumEventLoop(1), gnet.WithLogger(quiet{log.Sugar()}),
			gnet.WithReuseAddr(false), gnet.WithSocketRecvBuffer(socketRoom), gnet.WithSocketSendBuffer(socketRoom))
		s.stopped.Store(true)
		if err != nil {
			s.failed = err
		}
	}()
	select {
	case <-s.ready:
	case <-s.done:
		if s.failed == nil {
			s.failed = ErrStopped
		}
		_ = s.closeRecords(false)
		return nil, fmt.Errorf("listening on %v: %w", set.Router.Listen, s.failed)
	}
	if set.Router.Listen.Port() == 0 {
		known := *set
		known.Router.Listen = s.addr
		s.set = &known
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.associations(ctx)
	if s.keep != nil {
		s.side.Go(func() { s.keep.watch(ctx) })
	}
	s.side.Go(func() { s.source().Run(ctx, s.SetList, s.listFault) })
	if err := s.serveHTTP(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	log.Info("router started", zap.Stringer("listen", s.addr), zap.Int("exchange", set.Router.Exchange),
		zap.Int("groups", len(set.GroupSizes)))
	return s, nil
}

// sockets are what the router listens on: UDP for IAX2, TCP for M3UA where it is set.
func (s *Server) sockets() []string {
	out := []string{"udp://" + s.set.Router.Listen.String()}
	if l := s.set.M3UA.Listen; l.IsValid() {
		out = append(out, "tcp://"+l.String())
	}
	return out
}

// free tells whether an address can be listened on. gnet shares the port of a UDP socket with any other that
// does so too: of two routers on one address each would get a part of the datagrams.
func free(addr netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	return conn.Close()
}

// quiet passes gnet's errors on and nothing else.
type quiet struct{ *zap.SugaredLogger }

func (q quiet) Debugf(string, ...any) {}
func (q quiet) Infof(string, ...any)  {}

func (s *Server) source() registry.Source {
	if s.set.List.File != "" {
		return registry.FileSource{Path: s.set.List.File}
	}
	return registry.DiscoveryClient{URL: s.set.List.DiscoveryURL, Service: s.set.List.Service, Wait: s.set.List.Wait}
}

// Addr is the socket's address.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Settings are those in force.
func (s *Server) Settings() *config.Settings { return s.set }

func (s *Server) now() time.Duration { return time.Since(s.start) }

// OnBoot takes a second descriptor of the socket, for sends that answer nothing and for batches, and sends the
// first datagram, by which the loop gets to be known.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	fd, err := eng.DupListener("udp", s.set.Router.Listen.String())
	if err != nil {
		if err != nil {
			s.failed = err
		}
		return gnet.Shutdown
	}
	s.fd, s.batch = fd, newBatcher(fd)
	sa, err := unix.Getsockname(fd)
	own, ok := sa.(*unix.SockaddrInet4)
	if err != nil || !ok {
		s.failed = fmt.Errorf("the socket's address: %v", err)
		return gnet.Shutdown
	}
	s.addr = netip.AddrPortFrom(netip.AddrFrom4(own.Addr), uint16(own.Port))
	to := *own
	if s.addr.Addr().IsUnspecified() {
		to.Addr = [4]byte{127, 0, 0, 1}
	}
	if err := unix.Sendto(fd, []byte{0}, 0, &to); err != nil {
		if err != nil {
			s.failed = err
		}
		return gnet.Shutdown
	}
	return gnet.None
}

// OnShutdown closes what OnBoot opened.
func (s *Server) OnShutdown(gnet.Engine) {
	s.wake.stop()
	if s.batch != nil {
		_ = unix.Close(s.fd)
	}
}

// OnTraffic takes one datagram from gnet and all that wait behind it in batches, or what a connection brings.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	if s.loop == nil {
		s.loop = c.EventLoop()
		close(s.ready)
	}
	if st, ok := c.Context().(*stream); ok {
		return s.onStream(c, st)
	}
	now := s.now()
	if from, ok := c.RemoteAddr().(*net.UDPAddr); ok {
		if a, ok := iax2.AddrFrom(from.AddrPort()); ok {
			b, _ := c.Next(-1)
			s.node.Receive(now, a, b)
		}
	}
	for range rounds {
		n := s.batch.receive(func(from iax2.Addr, b []byte) { s.node.Receive(now, from, b) })
		s.flush(now)
		if n < batch {
			break
		}
		now = s.now()
	}
	s.settle(now)
	return gnet.None
}

// fire is the timer's end; it runs beside the loop.
func (s *Server) fire() {
	// The error says that the loop has ended: then there is nothing to do.
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.wake.rang()
		s.settle(s.now())
		return nil
	}))
}

// settle does what is due, sends what is to go and sets the timer.
func (s *Server) settle(now time.Duration) {
	if at, ok := s.node.Next(); ok && at <= now {
		s.node.Advance(now)
	}
	s.flush(now)
	s.takeRecords(now)
	at, ok := s.node.Next()
	s.wake.want(now, at, ok)
}

func (s *Server) flush(now time.Duration) {
	s.node.Flush(now)
	out := &s.node.IAX().Out
	if out.Len() > 0 {
		s.metrics.dropped += uint64(s.batch.send(out))
		out.Reset()
	}
	s.flushStreams()
}

// Do runs f on the loop and waits for it.
func (s *Server) Do(f func(n *node.Node, now time.Duration)) error {
	if s.stopped.Load() {
		return ErrStopped
	}
	ran := make(chan struct{})
	err := s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		now := s.now()
		f(s.node, now)
		s.settle(now)
		close(ran)
		return nil
	}))
	if err != nil {
		return err
	}
	limit := time.NewTimer(doWait)
	defer limit.Stop()
	select {
	case <-ran:
		return nil
	case <-s.done:
		return ErrStopped
	case <-limit.C:
		return fmt.Errorf("runtime: the loop did nothing for %v", doWait)
	}
}

// SetList hands a new exchange list to the node.
func (s *Server) SetList(l registry.List) {
	wall := time.Now()
	err := s.Do(func(n *node.Node, now time.Duration) {
		n.SetList(now, wall, l)
		s.listed.Store(int64(max(1, now)))
	})
	if err == nil {
		s.log.Info("exchange list told", zap.Uint64("index", l.Index), zap.Int("exchanges", len(l.Entries)))
	}
}

func (s *Server) listFault(err error) {
	s.metrics.listFaults.Inc()
	s.log.Warn("exchange list", zap.Error(err))
}

// Reload takes new settings over for calls that come from now on.
func (s *Server) Reload(next *config.Settings) error {
	if err := s.set.CheckReload(next); err != nil {
		return err
	}
	return s.Do(func(n *node.Node, now time.Duration) {
		n.Core.Reconfigure(now, next.Plan, next.GroupSizes, next.OwnCircuits(), next.Router.MaxCalls)
		s.log.Info("settings reloaded", zap.String("file", next.Path))
	})
}

// Drain refuses new calls, keeps standing ones up to the settings' limit or until ctx ends, then stops.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.Do(func(n *node.Node, _ time.Duration) { n.Core.Close() }); err != nil {
		return err
	}
	s.log.Info("draining", zap.Duration("limit", s.set.Router.DrainLimit))
	limit := time.NewTimer(s.set.Router.DrainLimit)
	defer limit.Stop()
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		open := 0
		if err := s.Do(func(n *node.Node, _ time.Duration) { open = n.Core.OpenCalls() + n.Core.Legs() }); err != nil {
			return err
		}
		if open == 0 {
			return s.Stop()
		}
		select {
		case <-limit.C:
			s.log.Warn("drain limit reached", zap.Int("left", open))
			return s.Stop()
		case <-ctx.Done():
			return s.Stop()
		case <-look.C:
		}
	}
}

// Stop ends the router at once; what it held is lost to it. Its records are written out; calls that stood are closed
// at the next start.
func (s *Server) Stop() error { return s.end(false) }

// Kill ends the router as a kill of its process would, records that wait included.
func (s *Server) Kill() error { return s.end(true) }

func (s *Server) closeRecords(drop bool) error {
	switch {
	case s.keep == nil:
		return nil
	case drop:
		s.keep.rec.Abort()
		return nil
	}
	return s.keep.rec.Close()
}

func (s *Server) end(drop bool) error {
	if s.cancel != nil {
		s.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), doWait)
	defer cancel()
	err := s.engine.Stop(ctx)
	<-s.done
	s.side.Wait()
	s.ended.Do(func() { err = errors.Join(err, s.closeRecords(drop)) })
	return err
}

// Wait returns when the router has ended.
func (s *Server) Wait() error {
	<-s.done
	return s.failed
}
