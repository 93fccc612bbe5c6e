package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitring/decide"
	"pipitring/internal/node"
	"pipitring/internal/registry"
	"pipitring/internal/runtime"
	"pipitring/internal/standin"
)

// FailoverResult is the effect of losing one of two associations on calls in set-up.
type FailoverResult struct {
	Rate      float64 `json:"calls_per_second"`
	Calls     int     `json:"calls"`
	Answered  int     `json:"stood"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	P99Before float64 `json:"p99_before_us"` // set-up delays before the cut
	P50After  float64 `json:"p50_after_us"`  // set-up delays in the half second after the cut
	P99After  float64 `json:"p99_after_us"`
	MaxAfter  float64 `json:"max_after_us"`
}

// newestLink is the index of the link whose association is established last and carries all traffic.
const newestLink = 1

// MeasureFailover offers calls between two routers with two associations for the given length. Halfway through, it cuts the
// association that carries the calls.
func MeasureFailover(ctx context.Context, rate float64, length time.Duration) (*FailoverResult, error) {
	sw, err := standin.NewSwitch(anyPort, standin.SwitchSpec{Exchange: 1, Rate: 1e9, QueueWait: time.Second, Lines: 1e6}, 1, nil)
	if err != nil {
		return nil, err
	}
	defer sw.Close()
	m3ua, err := freePort()
	if err != nil {
		return nil, err
	}
	var links [2]*standin.StreamLink
	for i := range links {
		if links[i], err = standin.NewStreamLink(0, 1, m3ua, uint64(i), nil); err != nil {
			return nil, err
		}
		defer links[i].Close()
	}
	var routers [2]*runtime.Server
	for x := 1; x >= 0; x-- { // the listening router first
		group, tables := fmt.Sprintf("circuits = %d\nfront = \"isup\"", groupCircuits), fmt.Sprintf("[m3ua]\nlisten = %q", m3ua)
		if x == 0 {
			group, tables = group+fmt.Sprintf("\nconnect = [%q, %q]", links[0].Addr(), links[1].Addr()), ""
		}
		set, err := callsSettings(x, group, tables)
		if err != nil {
			return nil, err
		}
		if routers[x], err = runtime.Start(set, nil); err != nil {
			return nil, err
		}
		defer routers[x].Stop()
	}
	list := registry.List{Entries: []registry.Entry{
		{ID: "x0", Number: 0, Phase: decide.Ready, Address: routers[0].Addr()},
		{ID: "x1", Number: 1, Phase: decide.Ready, Address: routers[1].Addr(), Switch: sw.Addr()}}}
	for _, r := range routers {
		r.SetList(list)
	}
	if err := awaitAssociations(routers[0]); err != nil {
		return nil, err
	}
	// The newest association carries all traffic. Which one is the newest depends on the order of connecting, so that of
	// newestLink is cut and connected again.
	links[newestLink].Set(standin.LinkFaults{Cut: true})
	time.Sleep(50 * time.Millisecond)
	links[newestLink].Set(standin.LinkFaults{})
	if err := awaitAssociations(routers[0]); err != nil {
		return nil, err
	}
	return failoverCalls(ctx, rate, length, routers[0].Addr(), links)
}

// awaitAssociations waits until two associations to exchange 1 are active, at most 10 s.
func awaitAssociations(r *runtime.Server) error {
	up := 0
	for limit := time.Now().Add(10 * time.Second); up < 2; time.Sleep(2 * time.Millisecond) {
		if err := r.Do(func(n *node.Node, _ time.Duration) { up = n.ISUP().GroupStates()[0].Associations }); err != nil {
			return err
		}
		if time.Now().After(limit) {
			return errors.New("exchange 1: fewer than 2 associations active after 10 s")
		}
	}
	time.Sleep(100 * time.Millisecond) // time for the circuit group resets to be acknowledged
	return nil
}

// failoverCalls offers calls, cuts the newest link halfway, and returns the set-up delays before and after the cut.
func failoverCalls(ctx context.Context, rate float64, length time.Duration, router netip.AddrPort,
	links [2]*standin.StreamLink) (*FailoverResult, error) {
	before, after := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var cutAt time.Time
	c, err := standin.NewCallers(anyPort, router, standin.CallersSpec{Rate: rate, FixedHold: true, Weights: []float64{0, 1},
		Classes: []standin.CallerClass{{Name: callsClass, Share: 1, Hold: callsHoldTime, Patience: callsPatience, Deadline: callsPatience}},
		Number:  func(int, *rand.Rand) string { return "1555" },
		OnAnswer: func(d time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			hist := before
			if began := time.Now().Add(-d); !cutAt.IsZero() && time.Now().After(cutAt) {
				if began.After(cutAt.Add(500 * time.Millisecond)) {
					return
				}
				hist = after
			}
			_ = hist.RecordValue(min(max(d.Microseconds(), 1), 10_000_000)) // clamped to the range of the histogram
		}}, 1, nil)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.Start()
	if !sleepUntil(ctx, time.Now().Add(length/2)) {
		return nil, ctx.Err()
	}
	mu.Lock()
	cutAt = time.Now()
	mu.Unlock()
	links[newestLink].Set(standin.LinkFaults{Cut: true})
	if !sleepUntil(ctx, time.Now().Add(length/2)) {
		return nil, ctx.Err()
	}
	c.Stop()
	if !sleepUntil(ctx, time.Now().Add(callsPatience+200*time.Millisecond)) {
		return nil, ctx.Err()
	}
	t := c.Count()[callsClass]
	mu.Lock()
	defer mu.Unlock()
	return &FailoverResult{Rate: rate, Calls: t.Tries, Answered: t.Answered, Refused: t.Refused, Failed: t.Failed,
		P99Before: float64(before.ValueAtQuantile(99)), P50After: float64(after.ValueAtQuantile(50)),
		P99After: float64(after.ValueAtQuantile(99)), MaxAfter: float64(after.Max())}, nil
}
