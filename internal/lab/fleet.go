package lab

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"pipitring/internal/capture"
	"pipitring/internal/config"
	"pipitring/internal/isup"
	"pipitring/internal/node"
	"pipitring/internal/runtime"
	"pipitring/internal/standin"
)

// router is a router of a fleet, on sockets or on the virtual network.
type router interface {
	Do(func(n *node.Node, now time.Duration)) error
	Reload(*config.Settings) error
	Kill() error
	Stop() error
	Addr() netip.AddrPort
}

// link is the network path between two routers.
type link interface {
	Set(standin.LinkFaults)
	Close()
}

// discoveryServer distributes the exchange list to the routers.
type discoveryServer interface {
	Publish(routers int, entries []standin.ListEntry) // sets the list for routers 0 to routers-1
	SetLag(router int, d time.Duration)               // delays updates to a router
	SetUnavailable(on bool)                           // makes all queries fail while on is true
	Close()
}

// environment is the network and clock that a fleet runs on.
type environment interface {
	startRouter(x int, set *config.Settings) (router, error)
	wallTime() time.Time
	listURL(x int) string                                 // discovery URL of a router
	streamAddr(p [2]int) netip.AddrPort                   // M3UA address that the lower-numbered router of a pair connects to
	readRecords(res *RecordsAudit) (storedRecords, error) // audits the records of all routers
	forEach(exchanges []int, do func(x int) error) error  // runs do for several exchanges, concurrently on sockets
	tapJitter() time.Duration                             // upper limit of the difference between the recording delays of two datagrams
	isupSwitches() bool                                   // whether switches use ISUP if all routers do
}

// fleet is a set of routers with their stand-ins.
type fleet struct {
	env          environment
	script       *Script
	tap          *capture.Writer
	log          *zap.Logger
	rng          *rand.Rand
	discovery    discoveryServer
	routers      []router         // by exchange; nil while killed
	routerAddrs  []netip.AddrPort // IAX2 address of each router
	switches     []exchangeSwitch
	callers      []*standin.Callers
	links        map[[2]int]link
	streams      map[[2]int]link     // M3UA links of the pairs that use ISUP
	m3uaAddrs    []netip.AddrPort    // M3UA address of each router
	circuits     map[[2]int]int      // size of each trunk group, by the pair of exchanges in ascending order
	circuitShare map[[2]int]float64  // share of its circuits that each trunk group may use at present, 0 to 1; same keys
	entries      []standin.ListEntry // exchange list as last changed
	dataDir      string              // temporary directory of records and tariffs; "" until it is created
}

// socketEnvironment runs a fleet on loopback sockets and the wall clock.
type socketEnvironment struct {
	fleet     *fleet
	discovery *standin.DiscoveryServer
	links     map[[2]int]*standin.Link
	streams   map[[2]int]*standin.StreamLink
}

func (e *socketEnvironment) startRouter(x int, set *config.Settings) (router, error) {
	return runtime.Start(set, e.fleet.log.With(zap.Int("exchange", x)))
}

func (e *socketEnvironment) wallTime() time.Time { return time.Now() }

func (e *socketEnvironment) tapJitter() time.Duration { return socketTapJitter }

func (e *socketEnvironment) isupSwitches() bool { return true }

func (e *socketEnvironment) listURL(x int) string { return e.discovery.URL(x) }

func (e *socketEnvironment) streamAddr(p [2]int) netip.AddrPort { return e.streams[p].Addr() }

// exchangeSwitch is a stand-in switch of either protocol.
type exchangeSwitch interface {
	ID() string
	Addr() netip.AddrPort
	SetFaults(standin.Faults)
	Stop()
	Restart() string
	CutCalls(share float64)
	Count() standin.SwitchStats
	Close()
}

// switchPointCode returns the point code of an exchange's switch. The router's point code is the exchange number plus one.
func switchPointCode(x int) uint32 { return uint32(1001 + x) }

// startSwitch starts an exchange's switch, with ISUP if the whole fleet uses it.
func (f *fleet) startSwitch(x int, spec standin.SwitchSpec) error {
	if f.script.Fleet.Front == "m3ua" {
		f.switches = append(f.switches, standin.NewISUPSwitch(f.m3uaAddrs[x], spec, isup.Config{FirstCIC: 1, Circuits: spec.Lines,
			OwnPointCode: switchPointCode(x), FarPointCode: uint32(x + 1), Timers: isup.Timers{T1: time.Second, T16: time.Second}}, f.script.Seed, f.tap))
		return nil
	}
	sw, err := standin.NewSwitch(anyPort, spec, f.script.Seed, f.tap)
	if err == nil {
		f.switches = append(f.switches, sw)
	}
	return err
}

// warmUptime is the uptime that the exchange list gives for the processors when the fleet starts, so that none is cold.
const warmUptime = 5 * time.Hour

// socketTapJitter is the upper limit of the difference between the recording delays of two datagrams on a busy machine.
const socketTapJitter = 40 * time.Millisecond

// anyPort is a loopback address whose port the system chooses.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newFleet returns a fleet without an environment.
func newFleet(s *Script, tap *capture.Writer, log *zap.Logger) *fleet {
	n := s.Fleet.Exchanges
	f := &fleet{script: s, tap: tap, log: log, rng: rand.New(rand.NewPCG(s.Seed, 3)), links: map[[2]int]link{},
		streams: map[[2]int]link{}, m3uaAddrs: make([]netip.AddrPort, n), circuits: map[[2]int]int{}, circuitShare: map[[2]int]float64{},
		routers: make([]router, n), routerAddrs: make([]netip.AddrPort, n)}
	return f
}

// startFleet starts a fleet on loopback, without calls, and waits until all routers have the exchange list and all
// signalling is up.
func startFleet(s *Script, tap *capture.Writer, log *zap.Logger) (f *fleet, err error) {
	n := s.Fleet.Exchanges
	f = newFleet(s, tap, log)
	e := &socketEnvironment{fleet: f, links: map[[2]int]*standin.Link{}, streams: map[[2]int]*standin.StreamLink{}}
	f.env = e
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if err := f.createDataDir(); err != nil {
		return f, err
	}
	f.notice(capture.Notice{Parameters: f.parameters()})
	f.chooseCircuitCounts()
	if e.discovery, err = standin.NewDiscoveryServer(tap, e.routerAddrFor); err != nil {
		return f, err
	}
	f.discovery = e.discovery
	if err := e.openStreams(); err != nil {
		return f, err
	}
	for x := range n {
		if err := f.startSwitch(x, f.switchSpec(x)); err != nil {
			return f, err
		}
		f.addEntry(x)
		if f.routerAddrs[x], err = freePort(); err != nil {
			return f, err
		}
		if err := f.startRouter(x); err != nil {
			return f, err
		}
		f.routerAddrs[x] = f.routers[x].Addr()
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			l, err := standin.NewLink(a, b, f.routerAddrs[a], f.routerAddrs[b], s.Seed, tap)
			if err != nil {
				return f, err
			}
			e.links[[2]int{a, b}], f.links[[2]int{a, b}] = l, l
			l.Set(f.linkFaults(a, b))
		}
	}
	for x := range n {
		f.discovery.SetLag(x, s.Fleet.ListLag)
		c, err := standin.NewCallers(anyPort, f.routerAddrs[x], f.callersSpec(x), s.Seed, tap)
		if err != nil {
			return f, err
		}
		f.callers = append(f.callers, c)
	}
	f.publish()
	if err := f.awaitLists(); err != nil {
		return f, err
	}
	return f, f.awaitSignalling()
}

// switchSpec returns the properties of an exchange's switch.
func (f *fleet) switchSpec(x int) standin.SwitchSpec {
	s := &f.script.Fleet
	return standin.SwitchSpec{Exchange: x, Rate: s.SetUpRate, QueueWait: s.QueueWait, Lines: s.Lines, ColdCapacity: s.ColdCapacity,
		ColdDuration: s.ColdDuration, OverloadMultiple: s.OverloadMultiple, OverloadWindow: s.OverloadWindow, RingTime: s.RingTime}
}

// addEntry adds an exchange's switch to the exchange list, as one that has run for warmUptime.
func (f *fleet) addEntry(x int) {
	sw := f.switches[x]
	f.entries = append(f.entries, standin.ListEntry{ID: sw.ID(), Exchange: x, Zone: f.region(x), Phase: "ready",
		Started: f.env.wallTime().Add(-warmUptime), Switch: sw.Addr()})
}

// usesISUP reports whether two routers use ISUP over M3UA between them.
func (f *fleet) usesISUP(a, b int) bool {
	front := f.script.Fleet.Front
	return front == "m3ua" || front == "mixed" && (a+b)%2 == 1
}

// openStreams opens the M3UA links. They come before the routers, whose settings contain the addresses.
func (e *socketEnvironment) openStreams() error {
	f := e.fleet
	n := f.script.Fleet.Exchanges
	for x := range n {
		if f.script.Fleet.Front == "iax2" {
			break
		}
		var err error
		if f.m3uaAddrs[x], err = freePort(); err != nil {
			return err
		}
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			if !f.usesISUP(a, b) {
				continue
			}
			l, err := standin.NewStreamLink(a, b, f.m3uaAddrs[b], f.script.Seed, f.tap)
			if err != nil {
				return err
			}
			e.streams[[2]int{a, b}], f.streams[[2]int{a, b}] = l, l
			l.Set(f.linkFaults(a, b))
		}
	}
	return nil
}

// notice records a notice in the capture.
func (f *fleet) notice(n capture.Notice) {
	if f.tap != nil {
		f.tap.Notice(f.env.wallTime(), n)
	}
}

// parameters returns the parameters of the rules for the capture.
func (f *fleet) parameters() *capture.Parameters {
	s := &f.script.Fleet
	p := &capture.Parameters{DrainGrace: s.DrainGrace, ReleaseWait: s.ReleaseWait, OverloadMultiple: s.OverloadMultiple,
		OverloadWindow: s.OverloadWindow, Patience: map[string]time.Duration{}}
	for _, c := range f.script.Classes {
		p.Patience[c.Name] = c.Patience
	}
	return p
}

// region returns the region of an exchange. Exchanges are assigned to the regions in rotation.
func (f *fleet) region(x int) string { return f.script.Fleet.Regions[x%len(f.script.Fleet.Regions)] }

// chooseCircuitCounts chooses the number of circuits of each pair's trunk group at random; 0 stands for no trunk group.
func (f *fleet) chooseCircuitCounts() {
	s := &f.script.Fleet
	for a := range s.Exchanges {
		for b := a + 1; b < s.Exchanges; b++ {
			size := float64(s.Circuits) * (1 + s.CircuitSpread*(2*f.rng.Float64()-1))
			if f.rng.Float64() < s.UnlinkedShare {
				size = 0
			}
			f.circuits[[2]int{a, b}] = int(size + 0.5)
			f.circuitShare[[2]int{a, b}] = 1
		}
	}
}

// orderedPair returns two exchanges in ascending order, as in the keys of links, streams and circuits.
func orderedPair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// routerAddrFor returns the address at which the router of exchange viewer reaches the router of another exchange: one end
// of the link between them.
func (e *socketEnvironment) routerAddrFor(viewer, exchange int) netip.AddrPort {
	if viewer == exchange {
		return e.fleet.routerAddrs[exchange]
	}
	l := e.links[orderedPair(viewer, exchange)]
	atA, atB := l.Ends()
	if viewer < exchange {
		return atA
	}
	return atB
}

// linkFaults returns the faults that the link between two exchanges has throughout the day.
func (f *fleet) linkFaults(a, b int) standin.LinkFaults {
	s := &f.script.Fleet
	delay := s.RegionDelay
	if f.region(a) != f.region(b) {
		delay = s.CrossRegionDelay
	}
	return standin.LinkFaults{Delay: delay, Jitter: s.Jitter, LossRate: s.LossRate, DuplicateRate: s.DuplicateRate}
}

// numberPrefix returns the prefix of the numbers that an exchange serves.
func numberPrefix(x int) string { return fmt.Sprintf("%02d", x) }

// callersSpec returns the properties of an exchange's callers.
func (f *fleet) callersSpec(x int) standin.CallersSpec {
	s := f.script
	c := standin.CallersSpec{Exchange: x, Rate: s.Load.Rate / float64(s.Fleet.Exchanges), MaxRedials: s.Load.MaxRedials,
		Backoff: s.Load.Backoff, User: fmt.Sprintf("handheld-%d", x), Secret: "let me in",
		Number: func(dest int, rng *rand.Rand) string {
			return fmt.Sprintf("%s%05d", numberPrefix(dest), rng.IntN(100000))
		}}
	for _, class := range s.Classes {
		c.Classes = append(c.Classes, standin.CallerClass{Name: class.Name, Share: class.Share, Hold: class.HoldTime, Patience: class.Patience,
			Deadline: class.Deadline})
	}
	others := float64(s.Fleet.Exchanges - 1)
	for d := range s.Fleet.Exchanges {
		weight := (1 - s.Load.LocalShare) / others
		if d == x {
			weight = s.Load.LocalShare
		}
		c.Weights = append(c.Weights, weight)
	}
	return c
}

// settings formats a router's settings as TOML and parses them in the same way as an operator's file.
func (f *fleet) settings(x int) (*config.Settings, error) {
	s := f.script
	var b strings.Builder
	add := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	add("[router]\nexchange = %d\nlisten = %q\ndefault_class = %q\nanswer_margin = \"120ms\"\nseed = %d", x, f.routerAddrs[x], s.Classes[0].Name,
		s.Seed*1000+uint64(x)+1)
	// The wait is longer than the one that the rules check. The neighbour and the tap count it from the arrival of
	// the release, which the tap may record late.
	add("[rules]\nrelease_wait = %q\ndrain_grace = %q\ncold_from = %v\ncold_for = %q\nfall_multiple = %v", s.Fleet.ReleaseWait+f.env.tapJitter(),
		s.Fleet.DrainGrace, s.Fleet.ColdCapacity, s.Fleet.ColdDuration, s.Fleet.OverloadMultiple)
	add("[list]\nregister = %q\nwait = \"10s\"", f.env.listURL(x))
	add("[iax]\nmax_per_host = 0\ncall_tokens = true\nretry_first = \"300ms\"\naccept_delay = %q\nping_every = \"2s\"\nlinger = \"2s\"", s.Fleet.AcceptDelay)
	add("[records]\ndir = %q\ntariffs = %q", f.recordsDir(x), filepath.Join(f.dataDir, "tariffs.toml"))
	add("[[user]]\nname = \"handheld-%d\"\nsecret = \"let me in\"", x)
	if f.m3uaAddrs[x].IsValid() {
		add("[m3ua]\nlisten = %q\n[isup]\nt1 = \"1s\"\nt5 = \"20s\"\nt16 = \"1s\"\nt17 = \"20s\"", f.m3uaAddrs[x])
	}
	add("[switch]\ncircuits = %d", s.Fleet.Lines)
	if s.Fleet.Front == "m3ua" && f.env.isupSwitches() {
		add("front = \"isup\"\npoint_code = %d", switchPointCode(x))
	}
	for _, c := range s.Classes {
		add("[[class]]\nname = %q\nhold = %q\naim = %q\ndeadline = %q\npatience = %q\nworth = %v\nlate_worth = %v\ncontexts = [%q]",
			c.Name, c.HoldTime, c.SetupTarget, c.Deadline, c.Patience, c.Value, c.LateValue, c.Name)
	}
	for y := range s.Fleet.Exchanges {
		add("[[exchange]]\nnumber = %d\nzone = %q\nprefixes = [%q]", y, f.region(y), numberPrefix(y))
		if y == x || f.circuits[orderedPair(x, y)] == 0 {
			continue
		}
		if !f.usesISUP(x, y) {
			if size := int(float64(f.circuits[orderedPair(x, y)]) * f.circuitShare[orderedPair(x, y)]); size > 0 {
				add("[[group]]\nto = %d\ncircuits = %d", y, size)
			}
			continue
		}
		add("[[group]]\nto = %d\ncircuits = %d\nfront = \"isup\"", y, f.circuits[orderedPair(x, y)])
		if x < y {
			add("connect = [%q]", f.env.streamAddr(orderedPair(x, y)))
		}
	}
	return config.Parse(fmt.Sprintf("router-%d.toml", x), []byte(b.String()))
}

// startRouter starts the router of an exchange and records that it is up.
func (f *fleet) startRouter(x int) error {
	set, err := f.settings(x)
	if err != nil {
		return err
	}
	r, err := f.env.startRouter(x, set)
	if err != nil {
		return fmt.Errorf("start of router %d: %w", x, err)
	}
	f.routers[x] = r
	f.notice(capture.Notice{Router: &capture.RouterState{Exchange: x, Up: true}})
	if x < len(f.callers) {
		f.callers[x].RestartSeconds()
	}
	return nil
}

// kill stops a router abruptly, without notice to its neighbours.
func (f *fleet) kill(x int) error {
	r := f.routers[x]
	if r == nil {
		return nil
	}
	f.routers[x] = nil
	f.notice(capture.Notice{Router: &capture.RouterState{Exchange: x}})
	return r.Kill()
}

// killAll kills the routers of several exchanges, on sockets concurrently, because one after another takes seconds.
func (f *fleet) killAll(exchanges []int) error { return f.env.forEach(exchanges, f.kill) }

// forEach runs do for several exchanges concurrently and returns their errors joined.
func (e *socketEnvironment) forEach(exchanges []int, do func(x int) error) error {
	errs := make([]error, len(exchanges))
	var wg sync.WaitGroup
	for i, x := range exchanges {
		wg.Go(func() { errs[i] = do(x) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// reload applies the present settings to all running routers, so that both ends of every trunk group have the same number
// of circuits.
func (f *fleet) reload() error {
	var errs []error
	for x, r := range f.routers {
		if r == nil {
			continue
		}
		set, err := f.settings(x)
		if err == nil {
			err = r.Reload(set)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// publish distributes the current exchange list.
func (f *fleet) publish() { f.discovery.Publish(f.script.Fleet.Exchanges, slices.Clone(f.entries)) }

// entry returns the newest list entry of an exchange, nil if there is none.
func (f *fleet) entry(x int) *standin.ListEntry {
	for i := len(f.entries) - 1; i >= 0; i-- {
		if f.entries[i].Exchange == x {
			return &f.entries[i]
		}
	}
	return nil
}

// setPhase changes the phase of an exchange's processor in the list and publishes it.
func (f *fleet) setPhase(x int, phase string) {
	f.entry(x).Phase = phase
	f.publish()
}

// replaceSwitch restarts the switch of an exchange with a cold processor, and publishes the list with it.
func (f *fleet) replaceSwitch(x int) {
	id := f.switches[x].Restart()
	f.entries = slices.DeleteFunc(f.entries, func(l standin.ListEntry) bool { return l.Exchange == x })
	f.entries = append(f.entries, standin.ListEntry{ID: id, Exchange: x, Zone: f.region(x), Phase: "ready", Started: f.env.wallTime(),
		Switch: f.switches[x].Addr()})
	f.publish()
}

// awaitLists waits until every router has the exchange list, at most 20 s.
func (f *fleet) awaitLists() error {
	limit := time.Now().Add(20 * time.Second)
	for _, r := range f.routers {
		for known := 0; known < f.script.Fleet.Exchanges; time.Sleep(2 * time.Millisecond) {
			err := r.Do(func(n *node.Node, _ time.Duration) { known = len(n.List().Entries) })
			if err != nil {
				return err
			}
			if time.Now().After(limit) {
				return errors.New("at least one router has no complete exchange list after 20 s")
			}
		}
	}
	return nil
}

// HeldResources counts the resources that routers still hold after all calls have ended.
type HeldResources struct {
	Calls    int `json:"Calls"`
	Legs     int `json:"Legs"`
	Dialogs  int `json:"Dialogs"`
	Circuits int `json:"Circuits"`
}

// heldResources sums the resources that the running routers hold.
func (f *fleet) heldResources() (held HeldResources, err error) {
	for _, r := range f.routers {
		if r == nil {
			continue
		}
		routerErr := r.Do(func(n *node.Node, _ time.Duration) {
			held.Calls += n.Core.OpenCalls()
			held.Legs += n.Core.Legs()
			held.Dialogs += n.Dialogs() + n.ISUP().Legs()
			for _, g := range n.Core.Groups() {
				out, in := g.Used()
				held.Circuits += out + in
			}
		})
		err = errors.Join(err, routerErr)
	}
	return held, err
}

// awaitSignalling waits until every association between routers, and to the switches that use ISUP, is active, at most 20 s.
func (f *fleet) awaitSignalling() error {
	limit := time.Now().Add(20 * time.Second)
	pairs := slices.Collect(maps.Keys(f.streams))
	if f.script.Fleet.Front == "m3ua" {
		for x := range f.routers {
			pairs = append(pairs, [2]int{x, x}) // association to its own switch
		}
	}
	for _, p := range pairs {
		if p[0] != p[1] && f.circuits[p] == 0 {
			continue
		}
		for _, end := range [][2]int{p, {p[1], p[0]}} {
			for up := false; !up; time.Sleep(2 * time.Millisecond) {
				err := f.routers[end[0]].Do(func(n *node.Node, _ time.Duration) { up = n.ISUP().Active(end[1]) })
				if err != nil {
					return err
				}
				if time.Now().After(limit) {
					return fmt.Errorf("no active association from exchange %d to %d after 20 s", end[0], end[1])
				}
			}
		}
	}
	return nil
}

// awaitReleased waits until no resources are held, at most for limit, and returns those still held.
func (f *fleet) awaitReleased(limit time.Duration) (held HeldResources, err error) {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if held, err = f.heldResources(); err != nil || held == (HeldResources{}) || time.Now().After(end) {
			return held, err
		}
	}
}

// close stops all parts of the fleet and removes its files.
func (f *fleet) close() {
	for _, c := range f.callers {
		c.Close()
	}
	_ = f.stopRouters() // a failure is ignored: the result is complete by now
	for _, l := range f.links {
		l.Close()
	}
	for _, l := range f.streams {
		l.Close()
	}
	for _, s := range f.switches {
		s.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	f.removeDataDir()
}

// removeDataDir removes the fleet's directory.
func (f *fleet) removeDataDir() {
	if f.dataDir != "" {
		_ = os.RemoveAll(f.dataDir) // a temporary directory: the system removes what remains
	}
}
