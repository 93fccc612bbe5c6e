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

// CallsOptions are the options of `lab calls`.
type CallsOptions struct {
	StepDuration time.Duration // duration of each rate
	MaxRate      float64       // highest rate tried, in calls per second
	Progress     io.Writer     // gets a line for each rate
}

// CallsResult is the capacity of one router. Datagrams are counted at the router's socket, both directions together.
// Delays are in microseconds.
type CallsResult struct {
	CallsPerSecond       float64 `json:"calls_per_second"` // highest rate without a missed deadline
	DatagramsPerSecond   float64 `json:"datagrams_per_second"`
	EchoPerSecond        float64 `json:"echo_datagrams_per_second"` // a bare gnet UDP echo, in the same run
	EchoRatio            float64 `json:"ratio_to_echo"`
	DatagramsPerCall     float64 `json:"datagrams_per_call"`
	DelayRate            float64 `json:"measured_at_calls_per_second"` // half of the highest rate; the rate of the delays below
	AddedP50             float64 `json:"added_p50_us"`                 // set-up delay through the router minus that of direct calls
	AddedP99             float64 `json:"added_p99_us"`
	AddedP999            float64 `json:"added_p999_us"`
	DirectP99            float64 `json:"direct_p99_us"` // the same calls without a router
	MissedAt980          int     `json:"missed_at_980"`
	P99At980             float64 `json:"p99_at_980_us"`
	BytesPerStandingCall float64 `json:"bytes_per_standing_call"`
	ViolationCount       int     `json:"rules_broken"`
	Calls                int     `json:"calls"`
	Cores                int     `json:"cores"`
}

const (
	callsClass       = "status"               // class of all calls
	callsPatience    = 2 * time.Second        // time after which the callers abandon a try; also the deadline
	callsSetupTarget = time.Second            // an answer after it counts as missed
	callsHoldTime    = 300 * time.Millisecond // duration of each answered call
	generators       = 2                      // sockets that make calls, or connections that send echo datagrams
)

// passResult is the measurement of one pass: calls at one rate.
type passResult struct {
	rate      float64
	calls     int                     // tries; the callers of a pass do not redial
	missed    int                     // tries without an answer within the set-up target
	datagrams float64                 // per second, both directions together, at the router
	hist      *hdrhistogram.Histogram // set-up delays in µs
}

// MeasureCalls searches for the highest rate of complete calls that one router carries without a missed deadline, and
// measures the delay that the router adds at half of that rate.
func MeasureCalls(ctx context.Context, o CallsOptions) (*CallsResult, error) {
	res := &CallsResult{Cores: goruntime.NumCPU()}
	var err error
	if res.EchoPerSecond, err = measureEcho(ctx, o.StepDuration); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Progress, "bare gnet echo: %.0f datagrams/s\n", res.EchoPerSecond)
	best := passResult{}
	measureAt := func(rate float64, direct bool) (passResult, error) {
		p, err := callsAtRate(ctx, rate, o.StepDuration, direct, nil)
		res.Calls += p.calls
		fmt.Fprintf(o.Progress, "%6.0f calls/s, direct %v: %d calls, %d missed, p50 %d us, p99 %d us, %.0f datagrams/s\n", rate, direct,
			p.calls, p.missed, p.hist.ValueAtQuantile(50), p.hist.ValueAtQuantile(99), p.datagrams)
		return p, err
	}
	p980, err := measureAt(980, false)
	if err != nil {
		return nil, err
	}
	res.MissedAt980, res.P99At980 = p980.missed, float64(p980.hist.ValueAtQuantile(99))
	best = p980
	for rate := 1500.0; rate <= o.MaxRate; rate *= 1.25 {
		p, err := measureAt(rate, false)
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
	through, err := measureAt(res.DelayRate, false)
	if err != nil {
		return nil, err
	}
	direct, err := measureAt(res.DelayRate, true)
	if err != nil {
		return nil, err
	}
	added := func(q float64) float64 {
		return float64(through.hist.ValueAtQuantile(q) - direct.hist.ValueAtQuantile(q))
	}
	res.AddedP50, res.AddedP99, res.AddedP999 = added(50), added(99), added(99.9)
	res.DirectP99 = float64(direct.hist.ValueAtQuantile(99))
	if res.ViolationCount, err = checkCallRules(ctx, o.StepDuration); err != nil {
		return nil, err
	}
	res.BytesPerStandingCall, err = bytesPerStandingCall(4000)
	return res, err
}

// checkCallRules runs a pass at 980 calls/s with a capture and returns the number of rule violations in it. The passes that
// measure have no capture.
func checkCallRules(ctx context.Context, length time.Duration) (int, error) {
	rep, err := runChecked(func(tap *capture.Writer) error {
		tap.Notice(time.Now(), callsParameters())
		tap.Notice(time.Now(), capture.Notice{Router: &capture.RouterState{Exchange: 0, Up: true}})
		_, err := callsAtRate(ctx, 980, length, false, tap)
		return err
	})
	if err != nil {
		return 0, err
	}
	if rep.Tries == 0 {
		return 0, errors.New("the capture of the pass at 980 calls/s contains no call")
	}
	return len(rep.Violations), nil
}

// callsParameters returns the parameters of the rules for captures of these measurements.
func callsParameters() capture.Notice {
	return capture.Notice{Parameters: &capture.Parameters{DrainGrace: time.Second, ReleaseWait: 300 * time.Millisecond,
		Patience: map[string]time.Duration{callsClass: callsPatience}}}
}

// passOptions describes one pass: complete calls at a rate, to one router with a switch behind it or directly to the switch.
type passOptions struct {
	rate   float64
	length time.Duration
	direct bool
	tap    *capture.Writer // nil for none; if set, one socket makes all calls: a capture has one calling party per exchange
	tables string          // TOML tables added to the router's settings
}

// callsAtRate runs a pass without additional settings tables.
func callsAtRate(ctx context.Context, rate float64, length time.Duration, direct bool, tap *capture.Writer) (passResult, error) {
	return runCallsPass(ctx, passOptions{rate: rate, length: length, direct: direct, tap: tap})
}

// runCallsPass runs one pass and returns its measurement.
func runCallsPass(ctx context.Context, o passOptions) (p passResult, err error) {
	rate, length, direct, tap := o.rate, o.length, o.direct, o.tap
	sockets := generators
	if tap != nil {
		sockets = 1
	}
	p = passResult{rate: rate, hist: hdrhistogram.New(1, 10_000_000, 3)}
	sw, err := standin.NewSwitch(anyPort, standin.SwitchSpec{Exchange: 1, Rate: 1e9, QueueWait: time.Second, Lines: 1e6}, 1, tap)
	if err != nil {
		return p, err
	}
	defer sw.Close()
	target := sw.Addr()
	var r *runtime.Server
	if !direct {
		if r, err = startCallsRouter(sw.Addr(), o.tables); err != nil {
			return p, err
		}
		defer func() { err = errors.Join(err, r.Stop()) }()
		target = r.Addr()
	}
	var mu sync.Mutex
	late := 0
	var callers []*standin.Callers
	for i := range sockets {
		c, err := standin.NewCallers(anyPort, target, standin.CallersSpec{Exchange: i, Rate: rate / float64(sockets), FixedHold: true,
			Weights: []float64{0, 1}, Classes: []standin.CallerClass{{Name: callsClass, Share: 1, Hold: callsHoldTime,
				Patience: callsPatience, Deadline: callsPatience}},
			Number: func(int, *rand.Rand) string { return "1555" },
			OnAnswer: func(d time.Duration) {
				mu.Lock()
				_ = p.hist.RecordValue(min(max(d.Microseconds(), 1), 10_000_000)) // clamped to the range of the histogram
				if d > callsSetupTarget {
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
	count := func() (datagrams uint64) {
		if r != nil {
			_ = r.Do(func(n *node.Node, _ time.Duration) { st := &n.IAX().Stats; datagrams = st.In + st.Out })
		}
		return datagrams
	}
	for _, c := range callers {
		c.Start()
	}
	if !sleepUntil(ctx, time.Now().Add(callsHoldTime+200*time.Millisecond)) {
		return p, ctx.Err()
	}
	from, began := count(), time.Now() // from here on, calls begin and end at the same rate
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

// startCallsRouter starts a router whose only neighbour is the switch. tables are TOML tables added to its settings.
func startCallsRouter(sw netip.AddrPort, tables string) (*runtime.Server, error) {
	set, err := callsSettings(0, "circuits = 20000", tables)
	if err != nil {
		return nil, err
	}
	r, err := runtime.Start(set, nil)
	if err != nil {
		return nil, err
	}
	r.SetList(callsExchangeList(sw))
	return r, nil
}

// callsSettings returns the settings of router x, 0 or 1, with one trunk group to the other exchange. group is added to
// the [[group]] table, tables at the end.
func callsSettings(x int, group, tables string) (*config.Settings, error) {
	return config.Parse("calls.toml", callsSettingsText(x, "listen = \"127.0.0.1:0\"\nmax_calls = 0\nseed = 1", group,
		"register = \"http://127.0.0.1:9\"", tables))
}

// callsSettingsText formats the settings of callsSettings as TOML. router and list are added to the tables of those names.
func callsSettingsText(x int, router, group, list, tables string) []byte {
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
`, x, router, callsClass, callsHoldTime, callsSetupTarget, callsPatience, callsPatience, 1-x, group, list, tables)
}

// callsExchangeList returns an exchange list with the switch as the only entry.
func callsExchangeList(sw netip.AddrPort) registry.List {
	return registry.List{Entries: []registry.Entry{{ID: "far", Number: 1, Phase: decide.Ready, Address: sw}}}
}

// heapInUse returns the allocated heap in bytes after a garbage collection.
func heapInUse() float64 {
	var m goruntime.MemStats
	goruntime.GC()
	goruntime.GC()
	goruntime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// bytesPerStandingCall sets up the given number of calls through a router without sockets, and returns the router's heap use
// in bytes per standing call.
func bytesPerStandingCall(calls int) (float64, error) {
	set, err := callsSettings(0, "circuits = 20000", "")
	if err != nil {
		return 0, err
	}
	caller, dest, self := iax2.Addr{IP: [4]byte{127, 0, 0, 1}, Port: 1}, iax2.Addr{IP: [4]byte{127, 0, 0, 1}, Port: 2},
		iax2.Addr{IP: [4]byte{127, 0, 0, 1}, Port: 3}
	n := node.New(node.Settings{Core: set.CallSettings(1)})
	n.SetList(0, time.Unix(0, 0), callsExchangeList(dest.AddrPort()))
	before := heapInUse()
	endpoints := map[iax2.Addr]*iax2.Endpoint{caller: iax2.NewEndpoint(iax2.Config{}), dest: iax2.NewEndpoint(iax2.Config{})}
	now := time.Second
	deliverUntilIdle := func() {
		for again := true; again; {
			again = false
			for addr, ep := range endpoints {
				for _, e := range ep.Events {
					if e.Kind == iax2.Offered {
						e.Dialog.Answer(now)
					}
				}
				ep.Events = ep.Events[:0]
				ep.Flush(now)
				for i := range ep.Out.Len() {
					_, b := ep.Out.At(i)
					n.Receive(now, addr, b)
					again = true
				}
				ep.Out.Reset()
			}
			n.Flush(now)
			out := &n.IAX().Out
			for i := range out.Len() {
				to, b := out.At(i)
				endpoints[to].Receive(now, self, b)
				again = true
			}
			out.Reset()
		}
	}
	for range calls {
		if _, err := endpoints[caller].Call(now, self, iax2.Request{Called: "1555", Calling: "77", Context: callsClass}); err != nil {
			return 0, err
		}
		deliverUntilIdle()
		now += time.Millisecond
	}
	if n.Core.Stats.Ends[call.Refused] > 0 || n.Core.OpenCalls() != calls {
		return 0, fmt.Errorf("heap use of standing calls: %d of %d calls were set up", n.Core.OpenCalls(), calls)
	}
	clear(endpoints)
	used := heapInUse() - before
	goruntime.KeepAlive(n)
	return used / float64(calls), nil
}

// echoServer is a minimal UDP echo server on gnet.
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

// measureEcho measures a bare gnet UDP echo on one event loop, in datagrams per second, both directions together. The
// senders keep a window of 64 datagrams in flight. Each has 40 bytes, the usual size of a datagram of a call.
func measureEcho(ctx context.Context, length time.Duration) (float64, error) {
	reserved, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, err
	}
	addr := reserved.LocalAddr().(*net.UDPAddr)
	reserved.Close()
	srv := &echoServer{ready: make(chan struct{})}
	stopped := make(chan error, 1)
	go func() {
		stopped <- gnet.Run(srv, "udp://"+addr.String(), gnet.WithNumEventLoop(1),
			gnet.WithSocketRecvBuffer(4<<20), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case <-srv.ready:
	case err := <-stopped:
		return 0, err
	}
	const window, size = 64, 40 // datagrams, bytes
	var echoed atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range generators {
		conn, err := net.DialUDP("udp4", nil, addr)
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
	return rate, errors.Join(err, <-stopped)
}
