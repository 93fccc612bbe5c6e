package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldFleet is a fleet of proxies with calls to one exchange, whose processor is replaced by a cold one
// during the run.
type coldFleet struct {
	proxies    int
	unevenness float64 // about the largest share of traffic over the smallest; shares fall geometrically
	demand     float64 // call rate after the start, as a multiple of the usual rate
	newProxies bool    // the proxies start together with the processor, without observed rates
	transit    float64 // share of the calls that are transit calls
	idleStart  bool    // no calls in the first three seconds after the start, so that every budget is full
}

// run returns the times of the set-ups to the cold processor, counted from its start; usual is the fleet's
// set-up rate before the start, per second.
func (f coldFleet) run(s Settings, usual float64) (sentAt []time.Duration) {
	rng := uint64(f.proxies)*7919 + uint64(f.demand*13) + uint64(f.unevenness)
	draw := func() float64 { rng += 0x9e3779b97f4a7c15; return float64(mix64(rng)>>11) / (1 << 53) }
	shares, sum := make([]float64, f.proxies), 0.0
	for i := range shares {
		shares[i] = math.Pow(max(f.unevenness, 1), -float64(i)/float64(f.proxies))
		sum += shares[i]
	}
	holdTime := s.Classes[0].HoldTime.Seconds()
	type proxy struct {
		c    *Controller
		rate float64
		size float64
	}
	const dest = 1
	start := 60 * time.Second
	fleet := make([]*proxy, f.proxies)
	for i := range fleet {
		p := &proxy{rate: usual * shares[i] / sum}
		load := p.rate * holdTime
		p.size = math.Ceil(load + 1.2*math.Sqrt(load))
		s := s
		s.OwnExchange, s.Proxies = 100+i, f.proxies
		p.c = New(s, uint64(i)*31+rng)
		fleet[i] = p
	}
	type standingCall struct {
		p    *proxy
		call CallID
		ex   ExchangeID
	}
	ends := map[time.Duration][]standingCall{}
	const step = 10 * time.Millisecond
	call := CallID(0)
	begin := time.Duration(0)
	if f.newProxies {
		begin = start
	}
	epoch := time.Hour
	handle := func(p *proxy, now time.Duration, acts []Action) {
		for _, a := range acts {
			if a, ok := a.(SetUp); ok {
				if now >= start {
					sentAt = append(sentAt, now-start)
				}
				p.c.Feed(epoch+now, AttemptAnswered{Call: a.Call, Exchange: a.Exchange, Took: 50 * ms})
				end := now + time.Duration(-holdTime*math.Log(1-draw())*float64(time.Second))/step*step + step
				ends[end] = append(ends[end], standingCall{p, a.Call, a.Exchange})
			}
		}
	}
	for _, p := range fleet {
		e := Entry{Exchange: 1000, Number: dest, Phase: Ready}
		if f.newProxies {
			e = Entry{Exchange: 2000, Number: dest, Phase: Ready, Started: epoch + start}
		}
		p.c.Feed(epoch+begin, ListUpdate{Kind: ListCached, Entries: []Entry{{Exchange: 1, Number: p.c.settings.OwnExchange, Phase: Ready}, e}})
		p.c.Feed(epoch+begin, ReportReceived{Exchange: e.Exchange, Report: Report{Free: p.size, Size: p.size}})
	}
	for now := begin; now < start+s.ColdDuration; now += step {
		if now == start && !f.newProxies {
			for _, p := range fleet {
				p.c.Feed(epoch+now, ListUpdate{Kind: ListChanges, Entries: []Entry{{Exchange: 1000, Number: dest, Phase: Removed},
					{Exchange: 2000, Number: dest, Phase: Ready, Started: epoch + now}}})
				p.c.Feed(epoch+now, ReportReceived{Exchange: 2000, Report: Report{Free: p.size, Size: p.size}})
			}
			clear(ends) // the standing calls were cut
		}
		for _, e := range ends[now] {
			e.p.c.Feed(epoch+now, AttemptEnded{Call: e.call, Exchange: e.ex, Outcome: Completed, Concluded: true,
				Report: Report{Free: math.Min(e.p.size, 1), Size: e.p.size}})
		}
		for _, p := range fleet {
			k := 1.0
			if now >= start {
				k = f.demand
				if f.idleStart && now < start+3*time.Second {
					k = 0
				}
			}
			for x := p.rate * k * step.Seconds(); draw() < x; x-- {
				call++
				transit := draw() < f.transit
				handle(p, now, p.c.Feed(epoch+now, Offer{Call: call, Dest: dest, Width: 1, AdvisedTandem: Unknown, Patience: 9 * time.Second,
					Transit: transit, Tenant: Unknown}))
			}
			if now%queueInterval == 0 {
				handle(p, now, p.c.Feed(epoch+now, TimerExpired{tokenQueueTimer}))
			}
			if now >= start && now%(200*ms) == 0 {
				p.c.Feed(epoch+now, ReportReceived{Exchange: 2000, Report: Report{Free: p.size, Size: p.size}}) // so that only slow start limits the calls
			}
		}
	}
	return sentAt
}

// busiestWindow returns the highest ratio of set-ups to the limit in any window, and a description of that
// window. Capacity is that of the warm processor, in set-ups per second.
func busiestWindow(sentAt []time.Duration, s Settings, capacity float64, window time.Duration) (worst float64, text string) {
	for i, from := range sentAt {
		n := 0
		for _, at := range sentAt[i:] {
			if at < from+window {
				n++
			}
		}
		// How the capacity grows is not specified: assume linear growth, as the Controller does, and take the
		// value at the beginning of the window.
		g := s.ColdCapacity + (1-s.ColdCapacity)*from.Seconds()/s.ColdDuration.Seconds()
		allowed := s.OverloadMultiple * capacity * g * window.Seconds()
		most := allowed + 2*math.Sqrt(allowed) + 2
		if r := float64(n) / most; r > worst {
			worst, text = r, fmt.Sprintf("%d within %v from %v after the start, allowed %.1f, with variation %.1f", n, window, from, allowed, most)
		}
	}
	return worst, text
}

// TestSlowStartOfFleet guards against proxies that together overload a cold processor. In each window they
// may send N set-ups, as given by the overload multiple and the capacity at its beginning, plus 2·√N + 2 for
// random variation.
func TestSlowStartOfFleet(t *testing.T) {
	others := settings()
	others.ColdCapacity, others.ColdDuration, others.OverloadMultiple = 0.25, 8*time.Second, 2.5
	others.Classes[0].HoldTime = 4 * time.Second
	for _, n := range []int{8, 30, 48} {
		for _, f := range []coldFleet{{demand: 1}, {demand: 10}, {demand: 10, unevenness: 30}, {demand: 10, transit: 0.4}, {demand: 10, newProxies: true},
			{demand: 10, newProxies: true, unevenness: 30}, {demand: 10, idleStart: true}, {demand: 10, idleStart: true, newProxies: true}} {
			f.proxies = n
			for i, s := range []Settings{settings(), others} {
				const usual, busy = 13, 0.8
				sentAt := f.run(s, usual)
				for _, window := range []time.Duration{1500 * ms, 3 * time.Second} {
					if worst, text := busiestWindow(sentAt, s, usual/busy, window); worst == 0 || worst > 1 {
						t.Errorf("settings %d, %+v: %s", i, f, text)
					}
				}
			}
		}
	}
}
