package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"pipitring/decide"
	"pipitring/internal/capture"
	"pipitring/internal/config"
	"pipitring/internal/registry"
	"pipitring/internal/rules"
	"pipitring/internal/standin"
	"pipitring/internal/vnet"
)

const (
	diskSync = 700 * time.Microsecond // of a commit on a virtual disk
	askAfter = 5 * time.Millisecond   // a router asks for the list so long after its start
)

// VirtualOptions are how a day is played on the virtual clock.
type VirtualOptions struct {
	Mutation        string  // the name of a planted bug in one router, "" is none
	Drift           float64 // clocks of routers differ by up to this part
	StopAtViolation bool    // stop at the first rule that is broken
	OnPacket        func(capture.Packet)
}

// VirtualResult is a day's result with what the world did.
type VirtualResult struct {
	DayResult
	Trace       uint64        `json:"trace"` // hash of all that was delivered
	Steps       uint64        `json:"steps"`
	VirtualTime time.Duration `json:"virtual_ns"`

	firstCall string // that a rule was broken for
}

// virtual is a fleet's ground on the virtual clock.
type virtual struct {
	f        *fleet
	w        *vnet.World
	o        VirtualOptions
	register *vregister
	disks    []*vnet.Disk
	lives    []int
	drifts   []float64
	mutation *vnet.Mutation // of router 0
	unproven map[int]bool   // routers whose disk was struck
}

func (g *virtual) wall() time.Time { return g.w.Wall() }

// each does something to several exchanges while the clock stands still: what it plays is one goroutine's.
func (g *virtual) each(at []int, do func(x int) error) error {
	var errs []error
	for _, x := range at {
		errs = append(errs, do(x))
	}
	return errors.Join(errs...)
}

func (g *virtual) tapDelay() time.Duration { return 0 }

func (g *virtual) isupSwitches() bool { return false }

func (g *virtual) listURL(int) string { return "http://127.0.0.1:9" } // nobody asks there

func (g *virtual) streamAddr(p [2]int) netip.AddrPort { return vnet.RouterAddr(p[1]) }

func (g *virtual) begin(x int, set *config.Settings) (router, error) {
	o := vnet.RouterOptions{Disk: g.disks[x], Incarnation: g.lives[x], Drift: g.drifts[x]}
	if x == 0 {
		o.Mutation = g.mutation
	}
	g.lives[x]++
	r, err := g.w.Start(x, set, o)
	if err != nil {
		return nil, err
	}
	g.w.After(askAfter, func() {
		if g.f.routers[x] == router(r) {
			g.register.poll(x, r)
		}
	})
	return r, nil
}

func (g *virtual) readRecords(res *DayRecords) (keptRecords, error) {
	out := keptRecords{}
	for x, d := range g.disks {
		var err error
		if out[x], err = readKept(d, x, res); err != nil {
			return nil, fmt.Errorf("records of router %d: %w", x, err)
		}
	}
	return out, nil
}

// vregister is the register on the virtual clock: each router asks it by blocking queries, as in service.
type vregister struct {
	g     *virtual
	index uint64
	gone  bool
	views []view
}

// view is the list as one router may know it, and the router's query.
type view struct {
	index   uint64
	lines   []standin.ListEntry
	lag     time.Duration
	last    time.Duration // when the newest list becomes known, so that none overtakes another
	asks    uint64        // queries of all lives
	waiting func()        // answers the query that blocks; nil is none
}

const (
	askTrip = 2 * time.Millisecond // there, and the same back
	askWait = 10 * time.Second     // of one query
)

func (r *vregister) Lag(x int, d time.Duration) { r.views[x].lag = d }

func (r *vregister) Close() {}

// Gone makes the register answer nothing but errors, queries that wait included, or serve again.
func (r *vregister) Gone(on bool) {
	r.gone = on
	for x := range r.views {
		r.wake(x)
	}
}

func (r *vregister) wake(x int) {
	if f := r.views[x].waiting; f != nil {
		r.views[x].waiting = nil
		f()
	}
}

func (r *vregister) Publish(n int, lines []standin.ListEntry) {
	r.index++
	index := r.index
	lines = slices.Clone(lines)
	for x := range n {
		v := &r.views[x]
		v.last = max(v.last, r.g.w.Now()+v.lag)
		r.g.w.At(v.last, func() {
			if index > v.index {
				v.index, v.lines = index, lines
				r.wake(x)
			}
		})
	}
}

var errGone = errors.New("lab: the register is gone")

// poll runs a router's queries for as long as it lives, by the decisions that the client in service goes by.
func (r *vregister) poll(x int, up *vnet.Router) {
	p := &registry.Poller{}
	rng := r.g.w.Rand(fmt.Sprintf("register client %d %d", x, r.g.lives[x]))
	var ask func()
	answer := func(l registry.List, err error) {
		r.g.w.After(askTrip, func() {
			if r.g.f.routers[x] != router(up) {
				return // it was killed
			}
			tell, wait := p.HandleAnswer(l, err, func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(max(d, 1)))) })
			if tell {
				r.note(x, &l)
				up.SetList(l)
			}
			r.g.w.After(wait, ask)
		})
	}
	ask = func() {
		r.g.w.After(askTrip, func() { r.serve(x, p.Index(), answer) })
	}
	ask()
}

// serve answers a query at once, or when there is news, or when its wait has run out.
func (r *vregister) serve(x int, after uint64, answer func(registry.List, error)) {
	v := &r.views[x]
	v.asks++
	ask := v.asks
	now := func() {
		if r.gone || v.index == 0 {
			answer(registry.List{}, errGone)
			return
		}
		answer(r.list(v), nil)
	}
	if r.gone || v.index > after {
		now()
		return
	}
	v.waiting = now
	r.g.w.After(askWait, func() {
		if v.asks == ask {
			r.wake(x)
		}
	})
}

// list is a view as a list.
func (r *vregister) list(v *view) registry.List {
	l := registry.List{Index: v.index}
	phases := map[string]decide.Phase{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Removed}
	for _, line := range v.lines {
		l.Entries = append(l.Entries, registry.Entry{ID: line.ID, Number: line.Exchange, Zone: line.Zone, Phase: phases[line.Phase],
			Started: line.Started, Address: vnet.RouterAddr(line.Exchange), Switch: line.Switch})
	}
	slices.SortFunc(l.Entries, func(a, b registry.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// note tells the capture what a router is told.
func (r *vregister) note(x int, l *registry.List) {
	told := capture.List{Router: x}
	for _, e := range l.Entries {
		told.Phases = append(told.Phases, capture.Phase{ID: e.ID, Exchange: e.Number, Phase: registry.PhaseName(e.Phase)})
	}
	r.g.f.notice(capture.Notice{List: &told})
}

// strike begins or ends a trouble that only this ground knows.
func (g *virtual) strike(t *Fault, at []int, on bool) {
	for _, p := range g.f.pairs() {
		l := g.w.Link(p[0], p[1])
		faults := l.Faults()
		inside := g.f.region(p[0]) == t.Region || g.f.region(p[1]) == t.Region
		across := (g.f.region(p[0]) == t.Region) != (g.f.region(p[1]) == t.Region)
		switch {
		case t.Kind == "reorder" && inside:
			faults.ReorderRate, faults.MaxReorderDelay = 0, 0
			if on {
				faults.ReorderRate, faults.MaxReorderDelay = t.Size, 80*time.Millisecond
			}
		case t.Kind == "stall" && across:
			faults.Stall = on
		case t.Kind == "half_cut" && across:
			faults.Blackhole = on
		default:
			continue
		}
		l.SetFaults(faults)
	}
	for _, x := range at {
		switch t.Kind {
		case "disk_full":
			g.disks[x].Full, g.unproven[x] = on, true
		case "disk_slow":
			g.unproven[x] = true
			g.disks[x].SyncTime = diskSync
			if on {
				g.disks[x].SyncTime = time.Duration(t.Size * float64(diskSync))
			}
		case "clock_set":
			if r, ok := g.f.routers[x].(*vnet.Router); ok && on {
				r.AdjustClock(time.Duration(t.Size * float64(time.Second)))
			}
		}
	}
}

// startVirtual starts a fleet on the virtual clock.
func startVirtual(s *Script, tap *capture.Writer, o VirtualOptions) (g *virtual, err error) {
	n := s.Fleet.Exchanges
	f := newFleet(s, tap, zap.NewNop())
	w := vnet.New(s.Seed, tap)
	g = &virtual{f: f, w: w, o: o, unproven: map[int]bool{}, disks: make([]*vnet.Disk, n), lives: make([]int, n), drifts: make([]float64, n)}
	g.register = &vregister{g: g, views: make([]view, n)}
	f.ground, f.register = g, g.register
	if o.Mutation != "" {
		all := vnet.Mutations()
		i := slices.IndexFunc(all, func(m *vnet.Mutation) bool { return m.Name == o.Mutation })
		if i < 0 {
			return nil, fmt.Errorf("no planted bug is named %q", o.Mutation)
		}
		g.mutation = all[i]
	}
	if err := f.openDir(); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.closeDir()
		}
	}()
	f.notice(capture.Notice{Parameters: f.figures()})
	f.drawGroups()
	drift := w.Rand("drift")
	for x := range n {
		if s.Fleet.Front != "iax2" {
			f.m3ua[x] = vnet.RouterAddr(x)
		}
		for y := x + 1; y < n; y++ {
			l := w.Link(x, y)
			l.Set(f.linkFaults(x, y))
			f.links[[2]int{x, y}] = l
			if f.byISUP(x, y) {
				f.streams[[2]int{x, y}] = l
			}
		}
		g.disks[x] = w.NewDisk(diskSync)
		g.drifts[x] = o.Drift * (2*drift.Float64() - 1)
		f.at[x] = vnet.RouterAddr(x)
		sw, err := standin.NewSwitchOn(w, vnet.SwitchAddr(x), f.switchSpec(x), s.Seed, tap)
		if err != nil {
			return nil, err
		}
		f.switches = append(f.switches, sw)
		f.listSwitch(x)
		if err := f.startRouter(x); err != nil {
			return nil, err
		}
		c, err := standin.NewCallersOn(w, vnet.CallersAddr(x), f.at[x], f.callersSpec(x), s.Seed, tap)
		if err != nil {
			return nil, err
		}
		f.callers = append(f.callers, c)
	}
	f.publish()
	for x := range n {
		f.register.Lag(x, s.Fleet.ListLag)
	}
	// Lists come and associations are made before the first call: two seconds of nothing else.
	w.Run(2 * time.Second)
	return g, nil
}

// errBrokenRule ends a day at the first rule that is broken.
var errBrokenRule = errors.New("a rule is broken")

// run plays until a time, and stops at a broken rule if that is asked for.
func (g *virtual) run(until time.Duration, c *rules.Checker) error {
	for g.w.Step(until) {
		if g.o.StopAtViolation && len(c.Violations()) > 0 {
			return errBrokenRule
		}
	}
	return nil
}

// RunVirtual plays a script on the virtual clock, with the rules checked after every step from what crossed the network.
func RunVirtual(ctx context.Context, s *Script, o VirtualOptions) (*VirtualResult, error) {
	copied := *s // troubles fill in what they leave open
	copied.Faults = slices.Clone(s.Faults)
	s = &copied
	began := time.Now()
	res := &VirtualResult{DayResult: DayResult{Day: s.Name, Front: s.Fleet.Front}}
	c := &rules.Checker{KeepTries: true, Exact: true}
	tap := capture.NewSink(func(p capture.Packet) {
		if o.OnPacket != nil {
			o.OnPacket(p)
		}
		c.Packet(p)
	})
	g, err := startVirtual(s, tap, o)
	if err != nil {
		return nil, err
	}
	defer g.f.closeDir()
	err = g.play(ctx, s, c, res)
	if err != nil && !errors.Is(err, errBrokenRule) {
		return nil, err
	}
	report := c.Report()
	res.take(report)
	if len(report.Violations) > 0 {
		res.firstCall = report.Violations[0].Call
	}
	if err == nil {
		res.Records.match(report.TryDetails, res.kept, g.unproven)
	}
	res.Trace, res.Steps, res.VirtualTime = g.w.Trace(), g.w.Steps, g.w.Now()
	res.WallSeconds = time.Since(began).Seconds()
	return res, nil
}

// play runs the fleet through its day and lets all come to its end.
func (g *virtual) play(ctx context.Context, s *Script, c *rules.Checker, res *VirtualResult) error {
	f, base := g.f, g.w.Now()
	for _, caller := range f.callers {
		caller.Start()
	}
	for _, st := range append(f.steps(), step{s.Length, "the day ends", func() error { return nil }}) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := g.run(base+min(st.at, s.Length), c); err != nil {
			return err
		}
		if err := st.do(); err != nil {
			return fmt.Errorf("%s: %w", st.what, err)
		}
	}
	for _, caller := range f.callers {
		caller.Stop()
	}
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Patience)
	}
	if err := g.run(g.w.Now()+longest+200*time.Millisecond, c); err != nil {
		return err
	}
	for _, caller := range f.callers {
		caller.HangUp()
	}
	if err := g.settle(c, res); err != nil {
		return err
	}
	if err := f.tally(&res.DayResult); err != nil {
		return err
	}
	g.w.Run(g.w.Now() + time.Second) // disks write what they have
	var err error
	res.kept, err = g.readRecords(&res.Records)
	return err
}

// settle plays until nothing is held any more, or for a minute.
func (g *virtual) settle(c *rules.Checker, res *VirtualResult) (err error) {
	for range 60 {
		if err := g.run(g.w.Now()+time.Second, c); err != nil {
			return err
		}
		if res.LeftOver, err = g.f.left(); err != nil || res.LeftOver == (HeldResources{}) {
			return err
		}
	}
	return nil
}
