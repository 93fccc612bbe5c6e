package runtime

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	goruntime "runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"pipitring/internal/platform"
)

const (
	memoryShare        = 0.6                    // share of the memory limit that is set as the Go runtime's soft limit
	lingerTime         = 500 * time.Millisecond // how long a gracefully closed connection is still read, at most
	maxLingerBytes     = 256 << 10              // bytes read from a gracefully closed connection, at most
	maxLingering       = 32                     // gracefully closed connections still open at the same time; further ones are closed at once
	maxProxyOutbound   = 256 << 10              // bytes buffered for a peer that does not read; with more its connection is closed
	outboundShare      = 0.125                  // share of the memory limit for all bytes buffered for peers that do not read
	firstReadSize      = 1 << 10                // bytes read from each readable connection in one pass of the event loop, at least
	proxyReadSize      = 16 << 10               // size of the buffer of further reads in bytes
	maxConnBytes       = 64 << 10               // bytes read from one connection in one pass, at most
	maxPassBytes       = 256 << 10              // bytes read from callers in one pass; once exceeded, firstReadSize from each of the others
	maxUnreadBytes     = 16 << 10               // bytes of a caller that may remain unread in one pass: behind more, its close may be hidden
	flushTimeout       = 2 * time.Second        // longest wait for buffered bytes to be written before a connection is closed or the proxy stops
	flushPollInterval  = 20 * time.Millisecond  // interval of checks whether the buffered bytes are written
	acceptRetryDelay   = 5 * time.Millisecond   // delay after a failed accept; doubled on each further failure
	maxAcceptDoublings = 6                      // number of times that the delay after failed accepts is doubled, at most
)

// Platform runs one signalling proxy of the users' platform on its sockets. A single event loop owns its core and its
// connections.
type Platform struct {
	gnet.BuiltinEventEngine

	log       *zap.Logger
	core      *platform.Core
	cfg       *platform.Config
	start     time.Time
	listener  net.Listener
	client    *gnet.Client
	loop      gnet.EventLoop
	conns     map[platform.ConnID]gnet.Conn
	lingering int // gracefully closed connections that are still open
	wake      loopTimer
	done      chan struct{}
	stopOnce  sync.Once
	stopErr   error
	handovers sync.WaitGroup // goroutines that dial or accept, and register connections with the loop
	cancel    context.CancelFunc
	ctx       context.Context
	trace     TraceFunc

	exiting atomic.Bool  // the core has requested its exit
	mu      sync.RWMutex // held for reading while work is passed to the loop
	stopped bool         // the loop accepts no more work

	// Events from the sockets since the last batch. They are handled together, so that it is known that a caller has
	// left before any of its requests is handled.
	inputs         []platform.Input
	callerBytes    int // bytes in inputs
	outbound       outboundCount
	unreadConns    map[platform.ConnID]*proxyConn // connections with bytes in inputs
	readBuffer     []byte
	batchScheduled bool // processBatch is queued for the loop
}

// TraceFunc is called on the event loop for all socket traffic, with the time since the start, the connection, the
// event (docs/ops/platform.md lists them) and the bytes. A nil TraceFunc is not called.
type TraceFunc func(at time.Duration, id platform.ConnID, event string, b []byte)

func (p *Platform) traceEvent(id platform.ConnID, event string, b []byte) {
	if p.trace != nil {
		p.trace(p.now(), id, event, b)
	}
}

// proxyConn is the state of a connection, which gnet holds as its context.
type proxyConn struct {
	id           platform.ConnID
	caller       bool   // it was accepted, not dialled
	registered   bool   // the loop has registered it
	closedByCore bool   // the core has closed it
	closedByLoop bool   // the loop has closed it
	eof          bool   // the end of a caller's stream was read after its bytes
	congested    bool   // more than maxUnreadBytes of a caller remained unread
	graceful     bool   // the core has closed it gracefully
	overLimit    bool   // it is being closed because its peer does not read
	discarded    int    // bytes read since the core closed it
	input        []byte // not yet passed to the core
}

// SetLimits applies the configured limits of cores and memory to the process. Absent limits are not applied.
func SetLimits(cfg *platform.Config) {
	if cfg.Cores > 0 {
		goruntime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	if cfg.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryLimit)))
	}
}

// StartPlatform listens and serves until Stop is called, or until the core requests its exit after it was stopped with
// Execute.
func StartPlatform(cfg *platform.Config, log *zap.Logger, trace TraceFunc) (*Platform, error) {
	listenConfig := net.ListenConfig{KeepAlive: -1} // the core detects peers that do not respond
	listener, err := listenConfig.Listen(context.Background(), "tcp4", cfg.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listening on %v: %w", cfg.Listen, err)
	}
	return startPlatform(cfg, log, trace, listener)
}

func startPlatform(cfg *platform.Config, log *zap.Logger, trace TraceFunc, listener net.Listener) (*Platform, error) {
	p := &Platform{log: log, cfg: cfg, trace: trace, listener: listener, conns: map[platform.ConnID]gnet.Conn{},
		readBuffer: make([]byte, proxyReadSize), unreadConns: map[platform.ConnID]*proxyConn{}, done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.outbound.limit = int(outboundShare * float64(cfg.MemoryLimit))
	p.wake = newLoopTimer(p.onTimer)
	p.start = time.Now()
	p.core = platform.New(cfg, p.start)
	var err error
	// gnet is used as a client, without a listener of its own, because its accept loop ends for good when an accept
	// fails. Go has already set TCP_NODELAY on the connections; gnet would leak a descriptor if it set the option again
	// and failed.
	p.client, err = gnet.NewClient(p, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(firstReadSize), gnet.WithTCPNoDelay(gnet.TCPDelay),
		gnet.WithLogger(errorLogger{log.Sugar()}))
	if err == nil {
		err = p.client.Start()
	}
	if err == nil {
		err = p.findLoop()
	}
	if err != nil {
		listener.Close()
		p.cancel()
		if p.client != nil {
			_ = p.client.Stop() // the first error is returned
		}
		return nil, fmt.Errorf("starting the event loop for %v: %w", cfg.Listen, err)
	}
	p.runOnLoop(p.processBatch)
	p.handovers.Go(p.acceptLoop)
	log.Info("signalling proxy started", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen))
	return p, nil
}

// findLoop finds the client's event loop through a connection to the proxy's own listener.
func (p *Platform) findLoop() error {
	d := net.Dialer{Timeout: loopTimeout, KeepAlive: -1}
	conn, err := d.DialContext(p.ctx, "tcp4", p.listener.Addr().String())
	if err != nil {
		return err
	}
	c, err := p.client.EnrollContext(conn, &proxyConn{closedByCore: true})
	if err != nil {
		return err
	}
	p.loop = c.EventLoop()
	return c.Close()
}

// acceptLoop accepts callers' connections one at a time: each is registered with the event loop before the next accept,
// so that the core can evict callers in time. After a failed accept, as for lack of descriptors, a caller without calls
// is evicted and the accept is retried after a delay.
func (p *Platform) acceptLoop() {
	for failures := 0; ; {
		conn, err := p.listener.Accept()
		if err == nil {
			err = p.enroll(conn, &proxyConn{caller: true})
		}
		switch {
		case err == nil:
			failures = 0
			continue
		case errors.Is(err, net.ErrClosed) || p.ctx.Err() != nil:
			return
		case errors.Is(err, syscall.ECONNABORTED):
			continue // the peer closed the connection before it was accepted
		}
		p.log.Warn("accept failed, evicting a caller without calls, if any, and retrying", zap.Error(err))
		p.runOnLoop(func() { p.core.EvictCaller(p.now()); p.scheduleBatch() })
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(acceptRetryDelay << min(failures, maxAcceptDoublings)):
			failures++
		}
	}
}

// enroll registers a connection with the event loop.
func (p *Platform) enroll(conn net.Conn, e *proxyConn) error {
	if _, err := p.client.EnrollContext(conn, e); err != nil {
		return err
	}
	if !e.registered { // gnet returns no error if it fails to watch the connection
		return errNotWatched
	}
	return nil
}

var errNotWatched = errors.New("runtime: event loop cannot watch the connection")

func (p *Platform) now() time.Duration { return time.Since(p.start) }

// OnOpen handles a connection that was dialled or accepted.
func (p *Platform) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	e := c.Context().(*proxyConn)
	e.registered = true
	if e.closedByCore {
		return nil, gnet.None
	}
	if e.caller {
		e.id = p.core.Accept(p.now())
		p.scheduleBatch()
	} else {
		p.traceEvent(e.id, "up", nil)
		p.queueInput(e.id, platform.InputOpened)
	}
	p.conns[e.id] = c
	return nil, gnet.None
}

// OnClose handles the end of a connection.
func (p *Platform) OnClose(c gnet.Conn, _ error) gnet.Action {
	e := c.Context().(*proxyConn)
	e.closedByLoop = true
	if e.graceful {
		p.lingering--
	}
	if !e.closedByCore {
		e.closedByCore = true
		p.traceEvent(e.id, "closed", nil)
		delete(p.conns, e.id)
		p.queueInput(e.id, platform.InputClosed)
	}
	return gnet.None
}

// onTimer runs processBatch on the loop when the timer has fired. It is called outside the loop.
func (p *Platform) onTimer() { p.runOnLoop(func() { p.wake.fired(); p.processBatch() }) }

// runOnLoop queues f to be run on the event loop, after the input of the pass in which it is run. It does nothing once
// the proxy has stopped.
func (p *Platform) runOnLoop(f func()) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.stopped {
		return
	}
	_ = p.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(); return nil }))
}

// dial establishes a connection outside the event loop and registers it with the loop, or reports to the core why not.
func (p *Platform) dial(o platform.Dial) {
	d := net.Dialer{Timeout: o.Timeout, KeepAlive: -1}
	conn, err := d.DialContext(p.ctx, "tcp4", o.To.String())
	if err == nil {
		err = p.enroll(conn, &proxyConn{id: o.Conn})
	}
	if err == nil {
		return
	}
	failure := platform.DialTimedOut
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		failure = platform.DialRefused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, errNotWatched):
		failure = platform.DialNoDescriptors
	}
	p.runOnLoop(func() {
		p.traceEvent(o.Conn, "dial failed", []byte(err.Error()))
		p.core.DialFailed(p.now(), o.Conn, failure)
		p.scheduleBatch()
	})
}

// Execute runs f on the event loop and then a batch. It is for events from outside, such as signals, and does not wait.
// Once the proxy has stopped, f is not run.
func (p *Platform) Execute(f func(core *platform.Core, now time.Duration)) {
	p.runOnLoop(func() {
		f(p.core, p.now())
		p.scheduleBatch()
	})
}

// Stop stops the proxy at once, with all its connections, and waits until it has ended.
func (p *Platform) Stop() error {
	p.stopOnce.Do(func() {
		p.cancel()
		_ = p.listener.Close()
		p.handovers.Wait() // while the loop still accepts their work
		p.mu.Lock()
		p.stopped = true
		p.mu.Unlock()
		p.wake.stop()
		p.stopErr = p.client.Stop()
		close(p.done)
	})
	<-p.done
	return p.stopErr
}

// Wait waits until the proxy has stopped and returns the error of Stop.
func (p *Platform) Wait() error {
	<-p.done
	return p.stopErr
}

// LoadPlatformConfig reads the configuration of a proxy from a file. An error names the file.
func LoadPlatformConfig(file string) (*platform.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	cfg, err := platform.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return cfg, nil
}
