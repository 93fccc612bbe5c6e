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
	"golang.org/x/sys/unix"

	"pipitring/internal/platform"
)

const (
	memoryShare  = 0.6                    // of the limit, for what the garbage collector looks after
	gentleFor    = 500 * time.Millisecond // a connection that ends gently is read on for so long,
	gentleBytes  = 256 << 10              // for so many bytes,
	gentleAtOnce = 32                     // and so many of them at once
	unread       = 256 << 10              // bytes that wait for an end that does not read, then it is cut
	readAtOnce   = 16 << 10               // bytes of one read: no message is longer
	callerAtOnce = 64 << 10               // bytes of one caller in one round of the loop
	lastWords    = 2 * time.Second        // at an end, for what is written and not taken yet,
	lookAgain    = 20 * time.Millisecond  // looked at so often
	acceptPause  = 5 * time.Millisecond   // after an accept that failed, doubling
	acceptPauses = 6                      // this often
)

// Platform is one signalling proxy of the users' platform on its sockets. One event loop owns it.
type Platform struct {
	gnet.BuiltinEventEngine

	log    *zap.Logger
	core   *platform.Core
	cfg    *platform.Config
	start  time.Time
	lis    net.Listener
	client *gnet.Client
	loop   gnet.EventLoop
	conns  map[platform.ConnID]gnet.Conn
	gentle int
	wake   waker
	done   chan struct{}
	once   sync.Once
	failed error
	side   sync.WaitGroup // dials and accepts
	cancel context.CancelFunc
	ctx    context.Context
	trace  TraceFunc

	leaving atomic.Bool  // the core has nothing left to do
	mu      sync.RWMutex // held while something is handed to the loop
	stopped bool         // it takes no more

	// What the sockets brought since the last turn. Taken together, so that a caller who has gone is known to have gone
	// before anything is begun for it.
	inbox   []platform.Input
	unread  map[platform.ConnID]*end // with bytes in the inbox
	buf     []byte
	waiting bool // a turn is on its way
}

// TraceFunc gets all that crosses the sockets: the time since the start, the connection, what happened, and the bytes. A nil
// one is none.
type TraceFunc func(at time.Duration, id platform.ConnID, what string, b []byte)

func (p *Platform) tell(id platform.ConnID, what string, b []byte) {
	if p.trace != nil {
		p.trace(p.now(), id, what, b)
	}
}

// end is what a connection carries along.
type end struct {
	id     platform.ConnID
	caller bool // it was accepted
	known  bool // the loop has it
	over   bool // the core has closed it
	closed bool // and the loop
	gone   bool // a caller's end was seen, behind what it still brought
	gently bool
	read   int    // bytes since
	in     []byte // unread by the core
}

// SetLimits keeps the process within what the platform allows: cores and memory.
func SetLimits(cfg *platform.Config) {
	if cfg.Cores > 0 {
		goruntime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Memory)))
	}
}

// StartPlatform listens and serves until Stop, or until Tell told the core to end and it has nothing left to do.
func StartPlatform(cfg *platform.Config, log *zap.Logger, trace TraceFunc) (*Platform, error) {
	listener := net.ListenConfig{KeepAlive: -1} // who says nothing is found out by the core
	lis, err := listener.Listen(context.Background(), "tcp4", cfg.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listening on %v: %w", cfg.Listen, err)
	}
	return startPlatform(cfg, log, trace, lis)
}

func startPlatform(cfg *platform.Config, log *zap.Logger, trace TraceFunc, lis net.Listener) (*Platform, error) {
	p := &Platform{log: log, cfg: cfg, trace: trace, lis: lis, conns: map[platform.ConnID]gnet.Conn{},
		buf: make([]byte, readAtOnce), unread: map[platform.ConnID]*end{}, done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wake = newWaker(p.fire)
	p.start = time.Now()
	p.core = platform.New(cfg, p.start)
	var err error
	// The listener is ours and not the library's, whose loop ends for good when an accept fails.
	// Connections come to it with TCP_NODELAY set; were it to set that again and fail, it would lose a descriptor.
	p.client, err = gnet.NewClient(p, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readAtOnce), gnet.WithTCPNoDelay(gnet.TCPDelay),
		gnet.WithLogger(quiet{log.Sugar()}))
	if err == nil {
		err = p.client.Start()
	}
	if err == nil {
		err = p.findLoop()
	}
	if err != nil {
		lis.Close()
		p.cancel()
		if p.client != nil {
			_ = p.client.Stop() // what went wrong is told already
		}
		return nil, fmt.Errorf("serving on %v: %w", cfg.Listen, err)
	}
	p.do(p.turn)
	p.side.Go(p.accept)
	log.Info("signalling proxy started", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen))
	return p, nil
}

// findLoop knocks at the own door: the loop gets to be known by a connection on it.
func (p *Platform) findLoop() error {
	d := net.Dialer{Timeout: doWait, KeepAlive: -1}
	conn, err := d.DialContext(p.ctx, "tcp4", p.lis.Addr().String())
	if err != nil {
		return err
	}
	c, err := p.client.EnrollContext(conn, &end{over: true})
	if err != nil {
		return err
	}
	p.loop = c.EventLoop()
	return c.Close()
}

// accept takes callers' connections, each once the loop has the one before, so that the core can make room in time. For
// want of descriptors an accept may still fail; then room is made and the accept tried again after a pause.
func (p *Platform) accept() {
	for pauses := 0; ; {
		conn, err := p.lis.Accept()
		if err == nil {
			err = p.enroll(conn, &end{caller: true})
		}
		switch {
		case err == nil:
			pauses = 0
			continue
		case errors.Is(err, net.ErrClosed) || p.ctx.Err() != nil:
			return
		case errors.Is(err, syscall.ECONNABORTED):
			continue // gone before it was taken
		}
		p.log.Warn("connection not accepted", zap.Error(err))
		p.do(func() { p.core.EvictCaller(p.now()); p.wantTurn() })
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(acceptPause << min(pauses, acceptPauses)):
			pauses++
		}
	}
}

// enroll hands a connection to the loop.
func (p *Platform) enroll(conn net.Conn, e *end) error {
	if _, err := p.client.EnrollContext(conn, e); err != nil {
		return err
	}
	if !e.known { // the loop could not watch it, which the library keeps to itself
		return errNotWatched
	}
	return nil
}

var errNotWatched = errors.New("runtime: the loop cannot watch the connection")

func (p *Platform) now() time.Duration { return time.Since(p.start) }

// OnOpen takes a connection that was dialled or accepted.
func (p *Platform) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	e := c.Context().(*end)
	e.known = true
	if e.over {
		return nil, gnet.None
	}
	if e.caller {
		e.id = p.core.Accept(p.now())
		p.wantTurn()
	} else {
		p.tell(e.id, "up", nil)
		p.take(e.id, platform.InputOpened)
	}
	p.conns[e.id] = c
	return nil, gnet.None
}

// OnTraffic takes what a connection brought.
func (p *Platform) OnTraffic(c gnet.Conn) gnet.Action {
	e := c.Context().(*end)
	b, _ := c.Next(-1) // -1 is all there is, which cannot be too much
	if e.over {
		if e.read += len(b); e.read > gentleBytes {
			return gnet.Close
		}
		return gnet.None
	}
	had := len(e.in)
	if had == 0 {
		p.take(e.id, platform.InputData)
		p.unread[e.id] = e
	}
	e.in = append(e.in, b...)
	if e.caller {
		e.gone = p.readOn(e, c.Fd())
	}
	p.tell(e.id, "<", e.in[had:])
	return gnet.None
}

// readOn fetches what a caller sent behind what was read, and tells whether its end lies behind that. The loop finds the
// end again and closes the connection.
func (p *Platform) readOn(e *end, fd int) (gone bool) {
	for len(e.in) < callerAtOnce {
		n, err := unix.Read(fd, p.buf)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return false
		case err != nil || n <= 0:
			return true
		default:
			e.in = append(e.in, p.buf[:n]...)
		}
	}
	return false
}

// OnClose takes in that a connection is gone.
func (p *Platform) OnClose(c gnet.Conn, _ error) gnet.Action {
	e := c.Context().(*end)
	e.closed = true
	if e.gently {
		p.gentle--
	}
	if !e.over {
		e.over = true
		p.tell(e.id, "closed", nil)
		delete(p.conns, e.id)
		p.take(e.id, platform.InputClosed)
	}
	return gnet.None
}

// fire is the timer's end; it runs beside the loop.
func (p *Platform) fire() { p.do(func() { p.wake.rang(); p.turn() }) }

// do runs f on the loop, behind the input of the round that it falls into; once the loop has ended there is nothing to do.
func (p *Platform) do(f func()) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.stopped {
		return
	}
	_ = p.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(); return nil }))
}

// take puts news aside for the next turn.
func (p *Platform) take(id platform.ConnID, what platform.InputKind) {
	p.inbox = append(p.inbox, platform.Input{Conn: id, Kind: what})
	p.wantTurn()
}

func (p *Platform) wantTurn() {
	if !p.waiting {
		p.waiting = true
		p.do(func() { p.waiting = false; p.turn() })
	}
}

// turn tells the core what the sockets brought, carries out what it wants and sets the timer.
func (p *Platform) turn() {
	in := p.inbox
	p.inbox = nil
	for i, n := range in {
		if n.Kind == platform.InputData {
			e := p.unread[n.Conn]
			in[i].Bytes, in[i].EOF, e.in = e.in, e.gone, nil
		}
	}
	clear(p.unread)
	now := p.now()
	p.core.ProcessBatch(now, in)
	p.settle(now)
}

// settle carries out what the core wants and sets the timer.
func (p *Platform) settle(now time.Duration) {
	for outs := p.core.Outputs(); len(outs) > 0; outs = p.core.Outputs() {
		for _, o := range outs {
			p.carryOut(o)
		}
	}
	at, ok := p.core.NextWakeUp()
	p.wake.want(now, at, ok)
}

func (p *Platform) carryOut(o platform.Output) {
	switch o := o.(type) {
	case platform.Write:
		c := p.conns[o.Conn]
		if c == nil {
			return
		}
		p.tell(o.Conn, ">", o.Bytes)
		if _, err := c.Write(o.Bytes); err == nil && c.OutboundBuffered() > unread {
			_ = c.Close() // OnClose follows
		}
	case platform.Close:
		p.close(o)
	case platform.Dial:
		p.tell(o.Conn, "dial", []byte(o.To.String()))
		p.side.Go(func() { p.connect(o) })
	case platform.LogLine:
		p.log.Info(o.Text)
	case platform.Exit:
		p.log.Info("nothing left to do")
		p.leaving.Store(true)
		p.leave(p.now() + lastWords)
	}
}

// leave ends the proxy once what it wrote is on its way, or at a time at the latest: who reads slowly has not got it yet.
func (p *Platform) leave(latest time.Duration) {
	pending := false
	for _, c := range p.conns {
		pending = pending || c.OutboundBuffered() > 0
	}
	if pending && p.now() < latest {
		time.AfterFunc(lookAgain, func() { p.do(func() { p.leave(latest) }) })
		return
	}
	go func() { _ = p.Stop() }()
}

func (p *Platform) close(o platform.Close) {
	c := p.conns[o.Conn]
	if c == nil {
		return
	}
	p.tell(o.Conn, "close", nil)
	delete(p.conns, o.Conn)
	e := c.Context().(*end)
	e.over = true
	if !o.Graceful || p.gentle >= gentleAtOnce {
		_ = c.Close()
		return
	}
	e.gently = true
	p.gentle++
	p.endGently(c, e, p.now()+lastWords)
}

// endGently ends a connection from this side once what was written is on its way, and reads on for a while: to close with
// bytes unread would reset the connection, and destroy what was just written.
func (p *Platform) endGently(c gnet.Conn, e *end, latest time.Duration) {
	switch {
	case e.closed: // and its descriptor may be another's by now
	case c.OutboundBuffered() > 0 && p.now() < latest:
		time.AfterFunc(lookAgain, func() { p.do(func() { p.endGently(c, e, latest) }) })
	case c.OutboundBuffered() > 0 || unix.Shutdown(c.Fd(), unix.SHUT_WR) != nil:
		_ = c.Close()
	default:
		time.AfterFunc(gentleFor, func() { p.do(func() { _ = c.Close() }) })
	}
}

// connect makes a connection beside the loop and hands it over.
func (p *Platform) connect(o platform.Dial) {
	d := net.Dialer{Timeout: o.Timeout, KeepAlive: -1}
	conn, err := d.DialContext(p.ctx, "tcp4", o.To.String())
	if err == nil {
		err = p.enroll(conn, &end{id: o.Conn})
	}
	if err == nil {
		return
	}
	why := platform.DialTimedOut
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		why = platform.DialRefused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, errNotWatched):
		why = platform.DialNoDescriptors
	}
	p.do(func() {
		p.tell(o.Conn, "not up", []byte(err.Error()))
		p.core.DialFailed(p.now(), o.Conn, why)
		p.wantTurn()
	})
}

// Execute runs f on the loop: news for the core from outside, such as signals.
func (p *Platform) Execute(f func(core *platform.Core, now time.Duration)) {
	p.do(func() {
		f(p.core, p.now())
		p.wantTurn()
	})
}

// Stop ends the proxy at once.
func (p *Platform) Stop() error {
	p.once.Do(func() {
		p.cancel()
		_ = p.lis.Close()
		p.side.Wait() // while the loop still takes what they hand over
		p.mu.Lock()
		p.stopped = true
		p.mu.Unlock()
		p.wake.stop()
		p.failed = p.client.Stop()
		close(p.done)
	})
	<-p.done
	return p.failed
}

// Wait returns when the proxy has ended.
func (p *Platform) Wait() error {
	<-p.done
	return p.failed
}

// LoadPlatformConfig reads the configuration that the environment names.
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
