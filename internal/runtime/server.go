// Package runtime runs a router on sockets, the monotonic clock and files. It is the only part of the router
// with I/O on the call path.
//
// One gnet event loop owns one node: datagrams, timers, list updates and reloads are all handled on it, so that
// the node needs no locks. Disk I/O and HTTP run on other goroutines.
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
	maxBatchRounds    = 16               // batches read per turn at most, so that timers are processed under load
	minTimerDelay     = time.Millisecond // shortest delay of the event loop's timer
	loopTimeout       = 5 * time.Second  // longest wait for a function to run on the event loop, and for the loop to stop
	socketBufferBytes = 4 << 20          // size of each of the socket's buffers
)

// ErrStopped is returned by Do after the router has stopped.
var ErrStopped = errors.New("runtime: the router has stopped")

// Server is one router on its sockets.
type Server struct {
	gnet.BuiltinEventEngine

	set              *config.Settings
	log              *zap.Logger
	metrics          *metrics
	node             *node.Node
	start            time.Time // zero of the router's clock
	engine           gnet.Engine
	addr             netip.AddrPort // of the UDP socket
	fd               int            // duplicate descriptor of the UDP socket
	batch            *batcher       // sends and receives on fd
	loop             gnet.EventLoop // set by the first datagram, which OnBoot sends
	timer            loopTimer      // timer of the event loop
	ready            chan struct{}  // closed when loop is set
	done             chan struct{}  // closed when the event loop has ended
	runErr           error          // error that ended the event loop; to be read after done is closed
	stopped          atomic.Bool
	listReceivedAt   atomic.Int64 // when the exchange list was last received, on the router's clock; 0 is never
	draining         atomic.Bool
	recorder         *recorder                      // nil: no records are stored
	conns            map[isupfront.ConnID]gnet.Conn // TCP connections; used on the event loop only
	lastConn         isupfront.ConnID
	closeRecordsOnce sync.Once      // closes the record store
	background       sync.WaitGroup // goroutines beside the event loop
	cancel           context.CancelFunc
}

// Start opens the sockets and runs a router on them until Stop, Kill or the end of Drain. A nil log discards all lines.
func Start(set *config.Settings, log *zap.Logger) (*Server, error) {
	if log == nil {
		log = zap.NewNop()
	}
	s := &Server{set: set, log: log, start: time.Now(), ready: make(chan struct{}), done: make(chan struct{}),
		conns: map[isupfront.ConnID]gnet.Conn{}}
	if err := checkAddrFree(set.Router.Listen); err != nil {
		return nil, fmt.Errorf("listening on %v: %w", set.Router.Listen, err)
	}
	s.node = node.New(set.NodeSettings(rand.Uint64(), rand.Uint64,
		func(number string) bool { return s.node.Core.HasRoute(number) }))
	if err := s.openRecords(); err != nil {
		return nil, err
	}
	s.metrics = newMetrics(s)
	s.timer = newLoopTimer(s.onTimer)
	go func() {
		defer close(s.done)
		err := gnet.Rotate(s, s.sockets(), gnet.WithNumEventLoop(1), gnet.WithLogger(errorLogger{log.Sugar()}),
			gnet.WithReuseAddr(false), gnet.WithSocketRecvBuffer(socketBufferBytes), gnet.WithSocketSendBuffer(socketBufferBytes))
		s.stopped.Store(true)
		if err != nil {
			s.runErr = err
		}
	}()
	select {
	case <-s.ready:
	case <-s.done:
		if s.runErr == nil {
			s.runErr = ErrStopped
		}
		_ = s.closeRecords(false)
		return nil, fmt.Errorf("listening on %v: %w", set.Router.Listen, s.runErr)
	}
	if set.Router.Listen.Port() == 0 {
		resolved := *set
		resolved.Router.Listen = s.addr
		s.set = &resolved
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.startAssociations(ctx)
	if s.recorder != nil {
		s.background.Go(func() { s.recorder.watchDisk(ctx) })
	}
	s.background.Go(func() { s.listSource().Run(ctx, s.SetList, s.onListError) })
	if err := s.serveHTTP(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	log.Info("router started", zap.Stringer("listen", s.addr), zap.Int("exchange", set.Router.Exchange),
		zap.Int("groups", len(set.GroupSizes)))
	return s, nil
}

// sockets returns the addresses to listen on: UDP for IAX2, and TCP for M3UA if m3ua.listen is set.
func (s *Server) sockets() []string {
	out := []string{"udp://" + s.set.Router.Listen.String()}
	if l := s.set.M3UA.Listen; l.IsValid() {
		out = append(out, "tcp://"+l.String())
	}
	return out
}

// checkAddrFree returns an error if a UDP address cannot be listened on. gnet's sockets share their port with other sockets
// that allow this, so that two routers on one address would each receive a part of the datagrams without an error.
func checkAddrFree(addr netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	return conn.Close()
}

// errorLogger is a logger for gnet that drops debug and info lines.
type errorLogger struct{ *zap.SugaredLogger }

func (l errorLogger) Debugf(string, ...any) {}
func (l errorLogger) Infof(string, ...any)  {}

// listSource returns the configured source of the exchange list.
func (s *Server) listSource() registry.Source {
	if s.set.List.File != "" {
		return registry.FileSource{Path: s.set.List.File}
	}
	return registry.DiscoveryClient{URL: s.set.List.DiscoveryURL, Service: s.set.List.Service, QueryWait: s.set.List.QueryWait}
}

// Addr returns the address of the UDP socket.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Settings returns the settings that the router was started with; a port of 0 is replaced by the actual one.
func (s *Server) Settings() *config.Settings { return s.set }

// now returns the time since the router's start, on the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// OnBoot duplicates the descriptor of the UDP socket, for batches and for datagrams that are not sent in response to one.
// It sends a first datagram to this socket itself, because the event loop is known only in the callback for a datagram.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	fd, err := eng.DupListener("udp", s.set.Router.Listen.String())
	if err != nil {
		if err != nil {
			s.runErr = err
		}
		return gnet.Shutdown
	}
	s.fd, s.batch = fd, newBatcher(fd)
	sa, err := unix.Getsockname(fd)
	own, ok := sa.(*unix.SockaddrInet4)
	if err != nil || !ok {
		s.runErr = fmt.Errorf("address of the UDP socket: %v", err)
		return gnet.Shutdown
	}
	s.addr = netip.AddrPortFrom(netip.AddrFrom4(own.Addr), uint16(own.Port))
	to := *own
	if s.addr.Addr().IsUnspecified() {
		to.Addr = [4]byte{127, 0, 0, 1}
	}
	if err := unix.Sendto(fd, []byte{0}, 0, &to); err != nil {
		if err != nil {
			s.runErr = err
		}
		return gnet.Shutdown
	}
	return gnet.None
}

// OnShutdown stops the timer and closes the descriptor that OnBoot opened.
func (s *Server) OnShutdown(gnet.Engine) {
	s.timer.stop()
	if s.batch != nil {
		_ = unix.Close(s.fd)
	}
}

// OnTraffic processes received data: one datagram from gnet and those waiting behind it in batches, or the bytes received
// on a TCP connection.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	if s.loop == nil {
		s.loop = c.EventLoop()
		close(s.ready)
	}
	if st, ok := c.Context().(*assocContext); ok {
		return s.onAssociationData(c, st)
	}
	now := s.now()
	if from, ok := c.RemoteAddr().(*net.UDPAddr); ok {
		if a, ok := iax2.AddrFrom(from.AddrPort()); ok {
			b, _ := c.Next(-1)
			s.node.Receive(now, a, b)
		}
	}
	for range maxBatchRounds {
		n := s.batch.receive(func(from iax2.Addr, b []byte) { s.node.Receive(now, from, b) })
		s.flush(now)
		if n < batchSize {
			break
		}
		now = s.now()
	}
	s.finishTurn(now)
	return gnet.None
}

// onTimer is called on the timer's goroutine and makes the event loop process what is due.
func (s *Server) onTimer() {
	// Execute fails only after the event loop has ended.
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.timer.fired()
		s.finishTurn(s.now())
		return nil
	}))
}

// finishTurn ends a turn of the event loop: it processes what is due, sends pending output, stores records and sets the
// timer.
func (s *Server) finishTurn(now time.Duration) {
	if at, ok := s.node.Next(); ok && at <= now {
		s.node.Advance(now)
	}
	s.flush(now)
	s.processRecords(now)
	at, ok := s.node.Next()
	s.timer.schedule(now, at, ok)
}

// flush sends the node's pending output.
func (s *Server) flush(now time.Duration) {
	s.node.Flush(now)
	out := &s.node.IAX().Out
	if out.Len() > 0 {
		s.metrics.dropped += uint64(s.batch.send(out))
		out.Reset()
	}
	s.flushAssociations()
}

// Do runs f on the event loop and waits for it. It returns ErrStopped if the router has stopped, and another error if f has
// not run within loopTimeout; in that case f may still run later.
func (s *Server) Do(f func(n *node.Node, now time.Duration)) error {
	if s.stopped.Load() {
		return ErrStopped
	}
	ran := make(chan struct{})
	err := s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		now := s.now()
		f(s.node, now)
		s.finishTurn(now)
		close(ran)
		return nil
	}))
	if err != nil {
		return err
	}
	limit := time.NewTimer(loopTimeout)
	defer limit.Stop()
	select {
	case <-ran:
		return nil
	case <-s.done:
		return ErrStopped
	case <-limit.C:
		return fmt.Errorf("runtime: event loop did not respond within %v", loopTimeout)
	}
}

// SetList passes a new exchange list to the node. It does nothing if the router has stopped.
func (s *Server) SetList(l registry.List) {
	wall := time.Now()
	err := s.Do(func(n *node.Node, now time.Duration) {
		n.SetList(now, wall, l)
		s.listReceivedAt.Store(int64(max(1, now)))
	})
	if err == nil {
		s.log.Info("exchange list updated", zap.Uint64("index", l.Index), zap.Int("exchanges", len(l.Entries)))
	}
}

// onListError counts and logs an error of the list's source, which retries.
func (s *Server) onListError(err error) {
	s.metrics.listErrors.Inc()
	s.log.Warn("exchange list source failed; keeping the last list", zap.Error(err))
}

// Reload applies the dial plan, group sizes, circuits of the own switch and call limit of new settings to calls from now on.
// Other changes take effect at a restart; those that CheckReload rejects are an error.
func (s *Server) Reload(next *config.Settings) error {
	if err := s.set.CheckReload(next); err != nil {
		return err
	}
	return s.Do(func(n *node.Node, now time.Duration) {
		n.Core.Reconfigure(now, next.Plan, next.GroupSizes, next.OwnCircuits(), next.Router.MaxCalls)
		s.log.Info("settings reloaded", zap.String("file", next.Path))
	})
}

// Drain rejects new calls, waits for standing ones until router.drain_limit has passed or ctx ends, then stops the router.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.Do(func(n *node.Node, _ time.Duration) { n.Core.RejectNewCalls() }); err != nil {
		return err
	}
	s.log.Info("draining", zap.Duration("limit", s.set.Router.DrainLimit))
	limit := time.NewTimer(s.set.Router.DrainLimit)
	defer limit.Stop()
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
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
			s.log.Warn("drain limit reached; stopping with calls open", zap.Int("left", open))
			return s.Stop()
		case <-ctx.Done():
			return s.Stop()
		case <-poll.C:
		}
	}
}

// Stop ends the router at once without releasing its calls. Records that are not yet durable are written; standing calls
// get theirs at the next start.
func (s *Server) Stop() error { return s.shutdown(false) }

// Kill ends the router as a kill of its process would: records that are not yet durable are lost.
func (s *Server) Kill() error { return s.shutdown(true) }

// closeRecords closes the record store; drop discards waiting records.
func (s *Server) closeRecords(drop bool) error {
	switch {
	case s.recorder == nil:
		return nil
	case drop:
		s.recorder.rec.Abort()
		return nil
	}
	return s.recorder.rec.Close()
}

// shutdown stops the event loop and all goroutines, then closes the record store.
func (s *Server) shutdown(drop bool) error {
	if s.cancel != nil {
		s.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), loopTimeout)
	defer cancel()
	err := s.engine.Stop(ctx)
	<-s.done
	s.background.Wait()
	s.closeRecordsOnce.Do(func() { err = errors.Join(err, s.closeRecords(drop)) })
	return err
}

// Wait waits until the router has stopped and returns the error that ended its event loop, if any.
func (s *Server) Wait() error {
	<-s.done
	return s.runErr
}
