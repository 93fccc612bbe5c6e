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
)

// Platform is one signalling proxy of the users' platform on its sockets. One event loop owns it.
type Platform struct {
	gnet.BuiltinEventEngine

	log      *zap.Logger
	core     *platform.Core
	cfg      *platform.Config
	start    time.Time
	engine   gnet.Engine
	loop     gnet.EventLoop
	conns    map[platform.Conn]gnet.Conn
	gentle   int
	settling bool
	wake     waker
	ready    chan struct{} // closed when the loop is known
	done     chan struct{}
	failed   error
	side     sync.WaitGroup // dials
	cancel   context.CancelFunc
	ctx      context.Context
	trace    Trace
}

// Trace gets all that crosses the sockets: the time since the start, the connection, what happened, and the bytes. A nil
// one is none.
type Trace func(at time.Duration, id platform.Conn, what string, b []byte)

func (p *Platform) tell(id platform.Conn, what string, b []byte) {
	if p.trace != nil {
		p.trace(p.now(), id, what, b)
	}
}

// end is what a connection carries along.
type end struct {
	id     platform.Conn
	over   bool // the core has closed it
	gently bool
	read   int // bytes since
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
func StartPlatform(cfg *platform.Config, log *zap.Logger, trace Trace) (*Platform, error) {
	p := &Platform{log: log, cfg: cfg, trace: trace, conns: map[platform.Conn]gnet.Conn{}, ready: make(chan struct{}), done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wake = newWaker(p.fire)
	p.start = time.Now()
	p.core = platform.New(cfg, p.start)
	go func() {
		defer close(p.done)
		p.failed = gnet.Run(p, "tcp://"+cfg.Listen.String(), gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
			gnet.WithLogger(quiet{log.Sugar()}))
	}()
	// The loop gets to be known by a first connection, which is ours.
	select {
	case <-p.ready:
	case <-p.done:
		p.cancel()
		return nil, fmt.Errorf("listening on %v: %w", cfg.Listen, errors.Join(p.failed, ErrStopped))
	}
	log.Info("signalling proxy started", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen))
	return p, nil
}

func (p *Platform) now() time.Duration { return time.Since(p.start) }

// OnBoot knocks at the own door.
func (p *Platform) OnBoot(eng gnet.Engine) gnet.Action {
	p.engine = eng
	p.side.Go(func() {
		d := net.Dialer{Timeout: doWait}
		if conn, err := d.DialContext(p.ctx, "tcp4", p.cfg.Listen.String()); err == nil {
			<-p.ready
			conn.Close()
		}
	})
	return gnet.None
}

// OnOpen takes a connection that was dialled or accepted.
func (p *Platform) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if p.loop == nil {
		p.loop = c.EventLoop()
		close(p.ready)
	}
	if e, ok := c.Context().(*end); ok {
		p.conns[e.id] = c
		p.tell(e.id, "up", nil)
		p.core.Connected(p.now(), e.id)
	} else {
		e := &end{id: p.core.Accept(p.now())}
		c.SetContext(e)
		p.conns[e.id] = c
	}
	p.settle()
	return nil, gnet.None
}

// OnTraffic hands on what a connection brought.
func (p *Platform) OnTraffic(c gnet.Conn) gnet.Action {
	e := c.Context().(*end)
	b, _ := c.Next(-1) // -1 is all there is, which cannot be too much
	if e.over {
		if e.read += len(b); e.read > gentleBytes {
			return gnet.Close
		}
		return gnet.None
	}
	p.tell(e.id, "<", b)
	p.core.Receive(p.now(), e.id, b)
	p.settle()
	return gnet.None
}

// OnClose takes in that a connection is gone.
func (p *Platform) OnClose(c gnet.Conn, _ error) gnet.Action {
	e, ok := c.Context().(*end)
	if !ok {
		return gnet.None
	}
	if e.gently {
		p.gentle--
	}
	if !e.over {
		e.over = true
		p.tell(e.id, "closed", nil)
		delete(p.conns, e.id)
		p.core.Closed(p.now(), e.id)
		p.settle()
	}
	return gnet.None
}

// fire is the timer's end; it runs beside the loop.
func (p *Platform) fire() { p.do(p.wake.rang) }

// do runs f on the loop; once the loop has ended there is nothing to do.
func (p *Platform) do(f func()) {
	_ = p.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		p.settle()
		return nil
	}))
}

// settle does what is due, carries out what the core wants and sets the timer. A write that fails closes its
// connection within, which then only tells the core.
func (p *Platform) settle() {
	if p.settling {
		return
	}
	p.settling = true
	now := p.now()
	if at, ok := p.core.Next(); ok && at <= now {
		p.core.Advance(now)
	}
	for outs := p.core.Outputs(); len(outs) > 0; outs = p.core.Outputs() {
		for _, o := range outs {
			p.carryOut(o)
		}
	}
	at, ok := p.core.Next()
	p.wake.want(now, at, ok)
	p.settling = false
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
	case platform.Note:
		p.log.Info(o.Text)
	case platform.Exit:
		p.log.Info("nothing left to do")
		go func() { _ = p.Stop() }()
	}
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
	if !o.Gently || p.gentle >= gentleAtOnce || c.OutboundBuffered() > 0 || unix.Shutdown(c.Fd(), unix.SHUT_WR) != nil {
		_ = c.Close()
		return
	}
	// To close with bytes unread would reset the connection, and destroy what was just written.
	e.gently = true
	p.gentle++
	time.AfterFunc(gentleFor, func() { _ = c.Close() })
}

// connect makes a connection beside the loop and hands it over.
func (p *Platform) connect(o platform.Dial) {
	d := net.Dialer{Timeout: o.Wait, KeepAlive: -1}
	conn, err := d.DialContext(p.ctx, "tcp4", o.To.String())
	if err == nil {
		var res <-chan gnet.RegisteredResult
		if res, err = p.loop.Enroll(gnet.NewContext(context.Background(), &end{id: o.Conn}), conn); err == nil {
			err = (<-res).Err
		} else {
			conn.Close()
		}
	}
	if err == nil {
		return
	}
	why := platform.Silent
	if errors.Is(err, syscall.ECONNREFUSED) {
		why = platform.Refused
	}
	p.do(func() {
		p.tell(o.Conn, "not up", []byte(err.Error()))
		p.core.NotConnected(p.now(), o.Conn, why)
	})
}

// Tell runs f on the loop: news for the core from outside, such as signals.
func (p *Platform) Tell(f func(core *platform.Core, now time.Duration)) {
	p.do(func() { f(p.core, p.now()) })
}

// Stop ends the proxy at once.
func (p *Platform) Stop() error {
	p.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), doWait)
	defer cancel()
	err := p.engine.Stop(ctx)
	<-p.done
	p.side.Wait()
	p.wake.stop()
	return err
}

// Wait returns when the proxy has ended.
func (p *Platform) Wait() error {
	<-p.done
	return p.failed
}

// LoadPlatform reads the configuration that the environment names.
func LoadPlatform(file string) (*platform.Config, error) {
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
