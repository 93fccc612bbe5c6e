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
	diskSyncTime    = 700 * time.Microsecond // duration of a commit on a virtual disk
	firstQueryDelay = 5 * time.Millisecond   // time from a router's start to its first query for the exchange list
)

// VirtualOptions are the options of a day on the virtual clock.
type VirtualOptions struct {
	Mutation        string               // name of a bug planted in router 0; "" for none
	Drift           float64              // upper limit of the relative drift of routers' clocks
	StopAtViolation bool                 // end the day at the first violation of a rule
	OnPacket        func(capture.Packet) // if not nil, called for each captured packet
}

// VirtualResult is the result of a day on the virtual clock.
type VirtualResult struct {
	DayResult
	Trace       uint64        `json:"trace"` // hash over all deliveries and their times
	Steps       uint64        `json:"steps"`
	VirtualTime time.Duration `json:"virtual_ns"`

	firstViolatedCall string // call of the first violation; "" for none
}

// virtualEnvironment runs a fleet on a virtual network and clock.
type virtualEnvironment struct {
	fleet        *fleet
	world        *vnet.World
	options      VirtualOptions
	discovery    *virtualDiscovery
	disks        []*vnet.Disk
	incarnations []int
	drifts       []float64
	mutation     *vnet.Mutation // planted in router 0; nil for none
	notDurable   map[int]bool   // routers that may have answered before records were durable, because of a disk fault
}

func (e *virtualEnvironment) wallTime() time.Time { return e.world.Wall() }

// forEach runs do for several exchanges in turn, at the same virtual time: the world runs on one goroutine.
func (e *virtualEnvironment) forEach(exchanges []int, do func(x int) error) error {
	var errs []error
	for _, x := range exchanges {
		errs = append(errs, do(x))
	}
	return errors.Join(errs...)
}

func (e *virtualEnvironment) tapJitter() time.Duration { return 0 }

func (e *virtualEnvironment) isupSwitches() bool { return false }

func (e *virtualEnvironment) listURL(int) string { return "http://127.0.0.1:9" } // unused: routers query virtualDiscovery

func (e *virtualEnvironment) streamAddr(p [2]int) netip.AddrPort { return vnet.RouterAddr(p[1]) }

func (e *virtualEnvironment) startRouter(x int, set *config.Settings) (router, error) {
	o := vnet.RouterOptions{Disk: e.disks[x], Incarnation: e.incarnations[x], Drift: e.drifts[x]}
	if x == 0 {
		o.Mutation = e.mutation
	}
	e.incarnations[x]++
	r, err := e.world.Start(x, set, o)
	if err != nil {
		return nil, err
	}
	e.world.After(firstQueryDelay, func() {
		if e.fleet.routers[x] == router(r) {
			e.discovery.poll(x, r)
		}
	})
	return r, nil
}

func (e *virtualEnvironment) readRecords(res *RecordsAudit) (storedRecords, error) {
	out := storedRecords{}
	for x, d := range e.disks {
		var err error
		if out[x], err = readStoredRecords(d, x, res); err != nil {
			return nil, fmt.Errorf("records of router %d: %w", x, err)
		}
	}
	return out, nil
}

// virtualDiscovery is the discovery server on the virtual clock. Routers poll it with blocking queries, as the service does.
type virtualDiscovery struct {
	env         *virtualEnvironment
	index       uint64
	unavailable bool
	views       []routerView
}

// routerView is the version of the exchange list that one router can see, and the state of its query.
type routerView struct {
	index      uint64
	entries    []standin.ListEntry
	lag        time.Duration
	lastUpdate time.Duration // time at which the newest version becomes visible; later versions do not become visible before it
	queries    uint64        // number of queries by all incarnations of the router
	blocked    func()        // answers the blocked query; nil if there is none
}

const (
	queryDelay   = 2 * time.Millisecond // one way to the discovery server
	queryTimeout = 10 * time.Second     // longest time that a query blocks
)

// SetLag delays list updates to a router.
func (d *virtualDiscovery) SetLag(x int, lag time.Duration) { d.views[x].lag = lag }

// Close does nothing: the discovery server lasts as long as the world.
func (d *virtualDiscovery) Close() {}

// SetUnavailable makes all queries fail while on, including blocked ones.
func (d *virtualDiscovery) SetUnavailable(on bool) {
	d.unavailable = on
	for x := range d.views {
		d.answerBlocked(x)
	}
}

// answerBlocked answers a router's blocked query, if there is one.
func (d *virtualDiscovery) answerBlocked(x int) {
	if f := d.views[x].blocked; f != nil {
		d.views[x].blocked = nil
		f()
	}
}

// Publish makes a new version of the list visible to routers 0 to n-1, to each after its lag.
func (d *virtualDiscovery) Publish(n int, entries []standin.ListEntry) {
	d.index++
	index := d.index
	entries = slices.Clone(entries)
	for x := range n {
		v := &d.views[x]
		v.lastUpdate = max(v.lastUpdate, d.env.world.Now()+v.lag)
		d.env.world.At(v.lastUpdate, func() {
			if index > v.index {
				v.index, v.entries = index, entries
				d.answerBlocked(x)
			}
		})
	}
}

// errDiscoveryUnavailable answers queries while the discovery server fails them or has no list yet.
var errDiscoveryUnavailable = errors.New("lab: discovery server is unavailable")

// poll queries the exchange list for a router until the router stops. registry.Poller decides about updates and retries, as
// it does for the discovery client of the service.
func (d *virtualDiscovery) poll(x int, running *vnet.Router) {
	poller := &registry.Poller{}
	rng := d.env.world.Rand(fmt.Sprintf("register client %d %d", x, d.env.incarnations[x]))
	var query func()
	answer := func(l registry.List, err error) {
		d.env.world.After(queryDelay, func() {
			if d.env.fleet.routers[x] != router(running) {
				return // the router was stopped or killed
			}
			changed, wait := poller.HandleResponse(l, err, func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(max(limit, 1)))) })
			if changed {
				d.recordUpdate(x, &l)
				running.SetList(l)
			}
			d.env.world.After(wait, query)
		})
	}
	query = func() {
		d.env.world.After(queryDelay, func() { d.serve(x, poller.Index(), answer) })
	}
	query()
}

// serve answers a query for a version newer than after: at once if there is one or the server fails queries, otherwise
// when one becomes visible, at the latest after queryTimeout.
func (d *virtualDiscovery) serve(x int, after uint64, answer func(registry.List, error)) {
	v := &d.views[x]
	v.queries++
	query := v.queries
	answerNow := func() {
		if d.unavailable || v.index == 0 {
			answer(registry.List{}, errDiscoveryUnavailable)
			return
		}
		answer(d.exchangeList(v), nil)
	}
	if d.unavailable || v.index > after {
		answerNow()
		return
	}
	v.blocked = answerNow
	d.env.world.After(queryTimeout, func() {
		if v.queries == query {
			d.answerBlocked(x)
		}
	})
}

// exchangeList returns a router's view as an exchange list, sorted by entry ID.
func (d *virtualDiscovery) exchangeList(v *routerView) registry.List {
	l := registry.List{Index: v.index}
	phases := map[string]decide.Phase{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Removed}
	for _, entry := range v.entries {
		l.Entries = append(l.Entries, registry.Entry{ID: entry.ID, Number: entry.Exchange, Zone: entry.Zone, Phase: phases[entry.Phase],
			Started: entry.Started, Address: vnet.RouterAddr(entry.Exchange), Switch: entry.Switch})
	}
	slices.SortFunc(l.Entries, func(a, b registry.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// recordUpdate records in the capture a list update that a router gets.
func (d *virtualDiscovery) recordUpdate(x int, l *registry.List) {
	update := capture.List{Router: x}
	for _, e := range l.Entries {
		update.Phases = append(update.Phases, capture.Phase{ID: e.ID, Exchange: e.Number, Phase: registry.PhaseName(e.Phase)})
	}
	d.env.fleet.notice(capture.Notice{List: &update})
}

// applyFault begins a fault that only the virtual clock has if on is true, and ends it otherwise.
func (e *virtualEnvironment) applyFault(fault *Fault, exchanges []int, on bool) {
	for _, p := range e.fleet.linkedPairs() {
		l := e.world.Link(p[0], p[1])
		faults := l.Faults()
		inside := e.fleet.region(p[0]) == fault.Region || e.fleet.region(p[1]) == fault.Region
		across := (e.fleet.region(p[0]) == fault.Region) != (e.fleet.region(p[1]) == fault.Region)
		switch {
		case fault.Kind == "reorder" && inside:
			faults.ReorderRate, faults.MaxReorderDelay = 0, 0
			if on {
				faults.ReorderRate, faults.MaxReorderDelay = fault.Size, 80*time.Millisecond
			}
		case fault.Kind == "stall" && across:
			faults.Stall = on
		case fault.Kind == "half_cut" && across:
			faults.Blackhole = on
		default:
			continue
		}
		l.SetFaults(faults)
	}
	for _, x := range exchanges {
		switch fault.Kind {
		case "disk_full":
			e.disks[x].Full, e.notDurable[x] = on, true
		case "disk_slow":
			e.notDurable[x] = true
			e.disks[x].SyncTime = diskSyncTime
			if on {
				e.disks[x].SyncTime = time.Duration(fault.Size * float64(diskSyncTime))
			}
		case "clock_set":
			if r, ok := e.fleet.routers[x].(*vnet.Router); ok && on {
				r.AdjustClock(time.Duration(fault.Size * float64(time.Second)))
			}
		}
	}
}

// startVirtualFleet starts a fleet on the virtual clock, without calls, and runs two seconds so that all routers have the
// exchange list and all associations are active.
func startVirtualFleet(s *Script, tap *capture.Writer, o VirtualOptions) (e *virtualEnvironment, err error) {
	n := s.Fleet.Exchanges
	f := newFleet(s, tap, zap.NewNop())
	w := vnet.New(s.Seed, tap)
	e = &virtualEnvironment{fleet: f, world: w, options: o, notDurable: map[int]bool{}, disks: make([]*vnet.Disk, n),
		incarnations: make([]int, n), drifts: make([]float64, n)}
	e.discovery = &virtualDiscovery{env: e, views: make([]routerView, n)}
	f.env, f.discovery = e, e.discovery
	if o.Mutation != "" {
		all := vnet.Mutations()
		i := slices.IndexFunc(all, func(m *vnet.Mutation) bool { return m.Name == o.Mutation })
		if i < 0 {
			return nil, fmt.Errorf("no planted bug has the name %q", o.Mutation)
		}
		e.mutation = all[i]
	}
	if err := f.createDataDir(); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.removeDataDir()
		}
	}()
	f.notice(capture.Notice{Parameters: f.parameters()})
	f.chooseCircuitCounts()
	drift := w.Rand("drift")
	for x := range n {
		if s.Fleet.Front != "iax2" {
			f.m3uaAddrs[x] = vnet.RouterAddr(x)
		}
		for y := x + 1; y < n; y++ {
			l := w.Link(x, y)
			l.Set(f.linkFaults(x, y))
			f.links[[2]int{x, y}] = l
			if f.usesISUP(x, y) {
				f.streams[[2]int{x, y}] = l
			}
		}
		e.disks[x] = w.NewDisk(diskSyncTime)
		e.drifts[x] = o.Drift * (2*drift.Float64() - 1)
		f.routerAddrs[x] = vnet.RouterAddr(x)
		sw, err := standin.NewSwitchOn(w, vnet.SwitchAddr(x), f.switchSpec(x), s.Seed, tap)
		if err != nil {
			return nil, err
		}
		f.switches = append(f.switches, sw)
		f.addEntry(x)
		if err := f.startRouter(x); err != nil {
			return nil, err
		}
		c, err := standin.NewCallersOn(w, vnet.CallersAddr(x), f.routerAddrs[x], f.callersSpec(x), s.Seed, tap)
		if err != nil {
			return nil, err
		}
		f.callers = append(f.callers, c)
	}
	f.publish() // before the lag is set: the first version is visible at once
	for x := range n {
		f.discovery.SetLag(x, s.Fleet.ListLag)
	}
	// Time for the routers to get the list and for the associations to become active before the first call.
	w.Run(2 * time.Second)
	return e, nil
}

// errRuleViolated ends a day at the first violation, with VirtualOptions.StopAtViolation.
var errRuleViolated = errors.New("a rule was violated")

// runUntil runs the world until a time. With StopAtViolation it returns errRuleViolated after the first step that violates
// a rule.
func (e *virtualEnvironment) runUntil(until time.Duration, c *rules.Checker) error {
	for e.world.Step(until) {
		if e.options.StopAtViolation && len(c.Violations()) > 0 {
			return errRuleViolated
		}
	}
	return nil
}

// RunVirtual runs a script on the virtual clock and checks the rules on the captured packets as they are sent.
func RunVirtual(ctx context.Context, s *Script, o VirtualOptions) (*VirtualResult, error) {
	copied := *s // the run fills in defaults of the faults
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
	e, err := startVirtualFleet(s, tap, o)
	if err != nil {
		return nil, err
	}
	defer e.fleet.removeDataDir()
	err = e.runScript(ctx, s, c, res)
	if err != nil && !errors.Is(err, errRuleViolated) {
		return nil, err
	}
	report := c.Report()
	res.addReport(report)
	if len(report.Violations) > 0 {
		res.firstViolatedCall = report.Violations[0].Call
	}
	if err == nil {
		res.Records.match(report.TryDetails, res.stored, e.notDurable)
	}
	res.Trace, res.Steps, res.VirtualTime = e.world.Trace(), e.world.Steps, e.world.Now()
	res.WallSeconds = time.Since(began).Seconds()
	return res, nil
}

// runScript runs the script's steps, lets all calls end and collects the result.
func (e *virtualEnvironment) runScript(ctx context.Context, s *Script, c *rules.Checker, res *VirtualResult) error {
	f, base := e.fleet, e.world.Now()
	for _, caller := range f.callers {
		caller.Start()
	}
	for _, st := range append(f.faultSteps(), step{s.Length, "the day ends", func() error { return nil }}) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := e.runUntil(base+min(st.at, s.Length), c); err != nil {
			return err
		}
		if err := st.action(); err != nil {
			return fmt.Errorf("%s: %w", st.description, err)
		}
	}
	for _, caller := range f.callers {
		caller.Stop()
	}
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Patience)
	}
	if err := e.runUntil(e.world.Now()+longest+200*time.Millisecond, c); err != nil {
		return err
	}
	for _, caller := range f.callers {
		caller.HangUp()
	}
	if err := e.awaitReleased(c, res); err != nil {
		return err
	}
	if err := f.collectStats(&res.DayResult); err != nil {
		return err
	}
	e.world.Run(e.world.Now() + time.Second) // time for the disks to complete their commits
	var err error
	res.stored, err = e.readRecords(&res.Records)
	return err
}

// awaitReleased runs the world until no resources are held, at most for a minute.
func (e *virtualEnvironment) awaitReleased(c *rules.Checker, res *VirtualResult) (err error) {
	for range 60 {
		if err := e.runUntil(e.world.Now()+time.Second, c); err != nil {
			return err
		}
		if res.LeftOver, err = e.fleet.heldResources(); err != nil || res.LeftOver == (HeldResources{}) {
			return err
		}
	}
	return nil
}
