package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	goruntime "runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/capture"
	"pipitring/internal/config"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
	"pipitring/internal/registry"
	"pipitring/internal/runtime"
	"pipitring/internal/standin"
)

// CallsOptions are how `lab calls` measures.
type CallsOptions struct {
	StepDuration time.Duration // of one rate
	MaxRate      float64       // calls a second at which it stops looking
	Progress     io.Writer
}

// CallsResult is what one router carries. Datagrams are counted in and out together, at the router's socket.
type CallsResult struct {
	CallsPerSecond       float64 `json:"calls_per_second"` // the highest rate without a missed deadline
	DatagramsPerSecond   float64 `json:"datagrams_per_second"`
	EchoPerSecond        float64 `json:"echo_datagrams_per_second"` // of a bare gnet UDP echo, in the same run
	EchoRatio            float64 `json:"ratio_to_echo"`
	DatagramsPerCall     float64 `json:"datagrams_per_call"`
	DelayRate            float64 `json:"measured_at_calls_per_second"` // half of the highest: for the delays below
	AddedP50             float64 `json:"added_p50_us"`
	AddedP99             float64 `json:"added_p99_us"`
	AddedP999            float64 `json:"added_p999_us"`
	DirectP99            float64 `json:"direct_p99_us"` // the same calls without a router between
	MissedAt980          int     `json:"missed_at_980"`
	P99At980             float64 `json:"p99_at_980_us"`
	BytesPerStandingCall float64 `json:"bytes_per_standing_call"`
	ViolationCount       int     `json:"rules_broken"`
	Calls                int     `json:"calls"`
	Cores                int     `json:"cores"`
}

const (
	callsClass    = "status"
	callsPatience = 2 * time.Second
	callsAim      = time.Second
	callsHold     = 300 * time.Millisecond
	generators    = 2
)

// pass is one rate's measurement.
type pass struct {
	rate      float64
	calls     int
	missed    int // no answer within the aim
	datagrams float64
	hist      *hdrhistogram.Histogram // µs
}

// MeasureCalls looks for the highest rate of whole calls that one router carries without a missed deadline, and
// measures the delay that it adds at half of that.
func MeasureCalls(ctx context.Context, o CallsOptions) (*CallsResult, error) {
	res := &CallsResult{Cores: goruntime.NumCPU()}
	var err error
	if res.EchoPerSecond, err = echo(ctx, o.StepDuration); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Progress, "bare gnet echo: %.0f datagrams a second\n", res.EchoPerSecond)
	best := pass{}
	at := func(rate float64, direct bool) (pass, error) {
		p, err := callsAt(ctx, rate, o.StepDuration, direct, nil)
		res.Calls += p.calls
		fmt.Fprintf(o.Progress, "%6.0f calls/s, direct %v: %d calls, %d missed, p50 %d us, p99 %d us, %.0f datagrams/s\n", rate, direct,
			p.calls, p.missed, p.hist.ValueAtQuantile(50), p.hist.ValueAtQuantile(99), p.datagrams)
		return p, err
	}
	p980, err := at(980, false)
	if err != nil {
		return nil, err
	}
	res.MissedAt980, res.P99At980 = p980.missed, float64(p980.hist.ValueAtQuantile(99))
	best = p980
	for rate := 1500.0; rate <= o.MaxRate; rate *= 1.25 {
		p, err := at(rate, false)
		if err != nil {
			return nil, err
		}
		if p.missed > 0 {
			break
		}
		best = p
	}
	res.CallsPerSecond, res.DatagramsPerSecond = best.rate, best.datagrams
	res.DatagramsPerCall = best.datagrams / best.rate
	res.EchoRatio = res.DatagramsPerSecond / res.EchoPerSecond
	res.DelayRate = best.rate / 2
	through, err := at(res.DelayRate, false)
	if err != nil {
		return nil, err
	}
	direct, err := at(res.DelayRate, true)
	if err != nil {
		return nil, err
	}
	added := func(q float64) float64 {
		return float64(through.hist.ValueAtQuantile(q) - direct.hist.ValueAtQuantile(q))
	}
	res.AddedP50, res.AddedP99, res.AddedP999 = added(50), added(99), added(99.9)
	res.DirectP99 = float64(direct.hist.ValueAtQuantile(99))
	if res.ViolationCount, err = judgedCalls(ctx, o.StepDuration); err != nil {
		return nil, err
	}
	res.BytesPerStandingCall, err = bytesPerStanding(4000)
	return res, err
}

// judgedCalls offers 980 calls a second once more with a tap, which the other passes go without, and counts the
// rules broken in what crossed the sockets.
func judgedCalls(ctx context.Context, length time.Duration) (int, error) {
	rep, err := judged(func(tap *capture.Writer) error {
		tap.Notice(time.Now(), callsFigures())
		tap.Notice(time.Now(), capture.Notice{Router: &capture.RouterState{Exchange: 0, Up: true}})
		_, err := callsAt(ctx, 980, length, false, tap)
		return err
	})
	if err != nil {
		return 0, err
	}
	if rep.Tries == 0 {
		return 0, errors.New("the capture shows no call")
	}
	return len(rep.Violations), nil
}

// callsFigures are what the rules are judged by where whole calls are measured.
func callsFigures() capture.Notice {
	return capture.Notice{Parameters: &capture.Parameters{DrainGrace: time.Second, ReleaseWait: 300 * time.Millisecond,
		Patience: map[string]time.Duration{callsClass: callsPatience}}}
}

// callsPass is one pass: whole calls at a rate to one router with a switch behind it, or to the switch itself.
type callsPass struct {
	rate   float64
	length time.Duration
	direct bool
	tap    *capture.Writer // then one socket calls, since a capture knows one for each exchange
	tables string          // added to the router's settings
}

// callsAt plays a pass with ordinary settings.
func callsAt(ctx context.Context, rate float64, length time.Duration, direct bool, tap *capture.Writer) (pass, error) {
	return callsThrough(ctx, callsPass{rate: rate, length: length, direct: direct, tap: tap})
}

func callsThrough(ctx context.Context, o callsPass) (p pass, err error) {
	rate, length, direct, tap := o.rate, o.length, o.direct, o.tap
	generators := generators
	if tap != nil {
		generators = 1
	}
	p = pass{rate: rate, hist: hdrhistogram.New(1, 10_000_000, 3)}
	sw, err := standin.NewSwitch(anyPort, standin.SwitchSpec{Exchange: 1, Rate: 1e9, QueueWait: time.Second, Lines: 1e6}, 1, tap)
	if err != nil {
		return p, err
	}
	defer sw.Close()
	target := sw.Addr()
	var r *runtime.Server
	if !direct {
		if r, err = callsRouter(sw.Addr(), o.tables); err != nil {
			return p, err
		}
		defer func() { err = errors.Join(err, r.Stop()) }()
		target = r.Addr()
	}
	var mu sync.Mutex
	late := 0
	var callers []*standin.Callers
	for i := range generators {
		c, err := standin.NewCallers(anyPort, target, standin.CallersSpec{Exchange: i, Rate: rate / float64(generators), FixedHold: true,
			Weights: []float64{0, 1}, Classes: []standin.CallerClass{{Name: callsClass, Share: 1, Hold: callsHold,
				Patience: callsPatience, Deadline: callsPatience}},
			Number: func(int, *rand.Rand) string { return "1555" },
			OnAnswer: func(d time.Duration) {
				mu.Lock()
				_ = p.hist.RecordValue(min(max(d.Microseconds(), 1), 10_000_000)) // within its range
				if d > callsAim {
					late++
				}
				mu.Unlock()
			}}, uint64(i+1), tap)
		if err != nil {
			return p, err
		}
		defer c.Close()
		callers = append(callers, c)
	}
	count := func() (n uint64) {
		if r != nil {
			_ = r.Do(func(n2 *node.Node, _ time.Duration) { st := &n2.IAX().Stats; n = st.In + st.Out })
		}
		return n
	}
	for _, c := range callers {
		c.Start()
	}
	if !sleepUntil(ctx, time.Now().Add(callsHold+200*time.Millisecond)) {
		return p, ctx.Err()
	}
	from, began := count(), time.Now() // calls begin and end at the same rate from here on
	if !sleepUntil(ctx, time.Now().Add(length)) {
		return p, ctx.Err()
	}
	p.datagrams = float64(count()-from) / time.Since(began).Seconds()
	for _, c := range callers {
		c.Stop()
	}
	if !sleepUntil(ctx, time.Now().Add(callsPatience+200*time.Millisecond)) {
		return p, ctx.Err()
	}
	for _, c := range callers {
		t := c.Count()[callsClass]
		p.calls += t.Tries
		p.missed += t.Tries - t.Answered
	}
	mu.Lock()
	p.missed += late
	mu.Unlock()
	return p, nil
}

// callsRouter starts a router whose only neighbour is the switch.
func callsRouter(sw netip.AddrPort, tables string) (*runtime.Server, error) {
	set, err := callsSettings(0, "circuits = 20000", tables)
	if err != nil {
		return nil, err
	}
	r, err := runtime.Start(set, nil)
	if err != nil {
		return nil, err
	}
	r.SetList(callsList(sw))
	return r, nil
}

// callsSettings are those of router 0 or 1 that is measured, with one group to the other exchange; group adds to its
// table, tables follow.
func callsSettings(x int, group, tables string) (*config.Settings, error) {
	return config.Parse("calls.toml", callsText(x, "listen = \"127.0.0.1:0\"\nmax_calls = 0\nseed = 1", group,
		"register = \"http://127.0.0.1:9\"", tables))
}

// callsText writes such settings; router and list add to their tables.
func callsText(x int, router, group, list, tables string) []byte {
	return fmt.Appendf(nil, `
[router]
exchange = %d
%s
[[class]]
name = %q
hold = %q
aim = %q
patience = %q
deadline = %q
worth = 1
[[exchange]]
number = 0
[[exchange]]
number = 1
prefixes = ["1"]
[[group]]
to = %d
%s
[list]
%s
[iax]
call_tokens = false
max_per_host = 0
linger = "500ms"
%s
`, x, router, callsClass, callsHold, callsAim, callsPatience, callsPatience, 1-x, group, list, tables)
}

func callsList(sw netip.AddrPort) registry.List {
	return registry.List{Entries: []registry.Entry{{ID: "far", Number: 1, Phase: decide.Ready, Address: sw}}}
}

// heapInUse is what the heap holds after a collection.
func heapInUse() float64 {
	var m goruntime.MemStats
	goruntime.GC()
	goruntime.GC()
	goruntime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// bytesPerStanding measures the heap that a router holds for each standing call, without sockets.
func bytesPerStanding(calls int) (float64, error) {
	set, err := callsSettings(0, "circuits = 20000", "")
	if err != nil {
		return 0, err
	}
	caller, far, here := iax2.Addr{IP: [4]byte{127, 0, 0, 1}, Port: 1}, iax2.Addr{IP: [4]byte{127, 0, 0, 1}, Port: 2},
		iax2.Addr{IP: [4]byte{127, 0, 0, 1}, Port: 3}
	n := node.New(node.Settings{Core: set.CallSettings(1)})
	n.SetList(0, time.Unix(0, 0), callsList(far.AddrPort()))
	before := heapInUse()
	ends := map[iax2.Addr]*iax2.Endpoint{caller: iax2.NewEndpoint(iax2.Config{}), far: iax2.NewEndpoint(iax2.Config{})}
	now := time.Second
	carry := func() {
		for again := true; again; {
			again = false
			for a, ep := range ends {
				for _, e := range ep.Events {
					if e.Kind == iax2.Offered {
						e.Dialog.Answer(now)
					}
				}
				ep.Events = ep.Events[:0]
				ep.Flush(now)
				for i := range ep.Out.Len() {
					_, b := ep.Out.At(i)
					n.Receive(now, a, b)
					again = true
				}
				ep.Out.Reset()
			}
			n.Flush(now)
			out := &n.IAX().Out
			for i := range out.Len() {
				to, b := out.At(i)
				ends[to].Receive(now, here, b)
				again = true
			}
			out.Reset()
		}
	}
	for range calls {
		if _, err := ends[caller].Call(now, here, iax2.Request{Called: "1555", Calling: "77", Context: callsClass}); err != nil {
			return 0, err
		}
		carry()
		now += time.Millisecond
	}
	if n.Core.Stats.Ends[call.Refused] > 0 || n.Core.OpenCalls() != calls {
		return 0, fmt.Errorf("%d of %d calls stand", n.Core.OpenCalls(), calls)
	}
	clear(ends)
	held := heapInUse() - before
	goruntime.KeepAlive(n)
	return held / float64(calls), nil
}

// echoServer is the least that gnet can do with UDP.
type echoServer struct {
	gnet.BuiltinEventEngine
	eng   gnet.Engine
	ready chan struct{}
}

func (e *echoServer) OnBoot(eng gnet.Engine) gnet.Action {
	e.eng = eng
	close(e.ready)
	return gnet.None
}

func (e *echoServer) OnTraffic(c gnet.Conn) gnet.Action {
	b, _ := c.Next(-1)
	_, _ = c.Write(b)
	return gnet.None
}

// echo measures a bare gnet UDP echo on one loop: senders keep a window of datagrams of a call's usual size out.
func echo(ctx context.Context, length time.Duration) (float64, error) {
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, err
	}
	at := probe.LocalAddr().(*net.UDPAddr)
	probe.Close()
	srv := &echoServer{ready: make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		ended <- gnet.Run(srv, "udp://"+at.String(), gnet.WithNumEventLoop(1),
			gnet.WithSocketRecvBuffer(4<<20), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case <-srv.ready:
	case err := <-ended:
		return 0, err
	}
	const window, size = 64, 40
	var echoed atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range generators {
		conn, err := net.DialUDP("udp4", nil, at)
		if err != nil {
			return 0, err
		}
		wg.Go(func() {
			defer conn.Close()
			buf := make([]byte, size)
			for range window {
				_, _ = conn.Write(buf)
			}
			for {
				select {
				case <-stop:
					return
				default:
				}
				_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				if _, err := conn.Read(buf); err == nil {
					echoed.Add(1)
				}
				_, _ = conn.Write(buf)
			}
		})
	}
	sleepUntil(ctx, time.Now().Add(200*time.Millisecond))
	from, began := echoed.Load(), time.Now()
	sleepUntil(ctx, began.Add(length))
	rate := 2 * float64(echoed.Load()-from) / time.Since(began).Seconds()
	close(stop)
	wg.Wait()
	err = srv.eng.Stop(context.Background())
	return rate, errors.Join(err, <-ended)
}
