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

// router is one router of a fleet: on sockets or on the virtual network.
type router interface {
	Do(func(n *node.Node, now time.Duration)) error
	Reload(*config.Settings) error
	Kill() error
	Stop() error
	Addr() netip.AddrPort
}

// link is what lies between two routers.
type link interface {
	Set(standin.LinkFaults)
	Close()
}

// register tells routers the exchange list.
type register interface {
	Publish(routers int, lines []standin.ListEntry)
	Lag(router int, d time.Duration)
	Gone(on bool)
	Close()
}

// ground is where a fleet stands.
type ground interface {
	begin(x int, set *config.Settings) (router, error) // starts a router
	wall() time.Time
	listURL(x int) string               // where a router asks for the list
	streamAddr(p [2]int) netip.AddrPort // where the lesser of two routers connects for M3UA
	readRecords(res *DayRecords) (keptRecords, error)
	each(at []int, do func(x int) error) error // several exchanges at one time
	tapDelay() time.Duration                   // how much later one tap may record what crossed than another
	isupSwitches() bool                        // switches speak ISUP where all routers do
}

// fleet is routers and their stand-ins.
type fleet struct {
	ground   ground
	script   *Script
	tap      *capture.Writer
	log      *zap.Logger
	rng      *rand.Rand
	register register
	routers  []router         // nil while killed
	at       []netip.AddrPort // where each listens
	switches []exchangeSwitch
	callers  []*standin.Callers
	links    map[[2]int]link
	streams  map[[2]int]link  // of the pairs that signal by ISUP
	m3ua     []netip.AddrPort // where each router takes associations
	circuits map[[2]int]int   // of each group, by the lesser and the greater exchange
	keep     map[[2]int]float64
	lines    []standin.ListEntry
	dir      string // of all that is kept on disk
}

// sockets is a fleet's ground on loopback.
type sockets struct {
	f        *fleet
	register *standin.DiscoveryServer
	links    map[[2]int]*standin.Link
	streams  map[[2]int]*standin.StreamLink
}

func (g *sockets) begin(x int, set *config.Settings) (router, error) {
	return runtime.Start(set, g.f.log.With(zap.Int("exchange", x)))
}

func (g *sockets) wall() time.Time { return time.Now() }

func (g *sockets) tapDelay() time.Duration { return busyTap }

func (g *sockets) isupSwitches() bool { return true }

func (g *sockets) listURL(x int) string { return g.register.URL(x) }

func (g *sockets) streamAddr(p [2]int) netip.AddrPort { return g.streams[p].Addr() }

// exchangeSwitch is a stand-in switch of either protocol.
type exchangeSwitch interface {
	ID() string
	Addr() netip.AddrPort
	Set(standin.Faults)
	Stop()
	Restart() string
	CutCalls(share float64)
	Count() standin.SwitchStats
	Close()
}

// switchPoint is the point code of an exchange's switch; its router's is the exchange's number plus one.
func switchPoint(x int) uint32 { return uint32(1001 + x) }

// startSwitch starts an exchange's switch: by ISUP where the whole fleet speaks it.
func (f *fleet) startSwitch(x int, spec standin.SwitchSpec) error {
	if f.script.Fleet.Front == "m3ua" {
		f.switches = append(f.switches, standin.NewISUPSwitch(f.m3ua[x], spec, isup.Config{First: 1, Circuits: spec.Lines,
			OwnPointCode: switchPoint(x), FarPointCode: uint32(x + 1), Timers: isup.Timers{T1: time.Second, T16: time.Second}}, f.script.Seed, f.tap))
		return nil
	}
	sw, err := standin.NewSwitch(anyPort, spec, f.script.Seed, f.tap)
	if err == nil {
		f.switches = append(f.switches, sw)
	}
	return err
}

// longWarm is how long the processors of a fleet have run when it starts, as the list tells it.
const longWarm = 5 * time.Hour

// busyTap is how much later a busy machine may record one datagram than another.
const busyTap = 40 * time.Millisecond

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newFleet is a fleet that stands nowhere yet.
func newFleet(s *Script, tap *capture.Writer, log *zap.Logger) *fleet {
	n := s.Fleet.Exchanges
	f := &fleet{script: s, tap: tap, log: log, rng: rand.New(rand.NewPCG(s.Seed, 3)), links: map[[2]int]link{},
		streams: map[[2]int]link{}, m3ua: make([]netip.AddrPort, n), circuits: map[[2]int]int{}, keep: map[[2]int]float64{},
		routers: make([]router, n), at: make([]netip.AddrPort, n)}
	return f
}

// startFleet starts everything but the calls, on loopback.
func startFleet(s *Script, tap *capture.Writer, log *zap.Logger) (f *fleet, err error) {
	n := s.Fleet.Exchanges
	f = newFleet(s, tap, log)
	g := &sockets{f: f, links: map[[2]int]*standin.Link{}, streams: map[[2]int]*standin.StreamLink{}}
	f.ground = g
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if err := f.openDir(); err != nil {
		return f, err
	}
	f.notice(capture.Notice{Parameters: f.figures()})
	f.drawGroups()
	if g.register, err = standin.NewDiscoveryServer(tap, g.addrOf); err != nil {
		return f, err
	}
	f.register = g.register
	if err := g.openStreams(); err != nil {
		return f, err
	}
	for x := range n {
		if err := f.startSwitch(x, f.switchSpec(x)); err != nil {
			return f, err
		}
		f.listSwitch(x)
		if f.at[x], err = freePort(); err != nil {
			return f, err
		}
		if err := f.startRouter(x); err != nil {
			return f, err
		}
		f.at[x] = f.routers[x].Addr()
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			l, err := standin.NewLink(a, b, f.at[a], f.at[b], s.Seed, tap)
			if err != nil {
				return f, err
			}
			g.links[[2]int{a, b}], f.links[[2]int{a, b}] = l, l
			l.Set(f.linkFaults(a, b))
		}
	}
	for x := range n {
		f.register.Lag(x, s.Fleet.ListLag)
		c, err := standin.NewCallers(anyPort, f.at[x], f.callersSpec(x), s.Seed, tap)
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

func (f *fleet) switchSpec(x int) standin.SwitchSpec {
	s := &f.script.Fleet
	return standin.SwitchSpec{Exchange: x, Rate: s.SetUpRate, QueueWait: s.QueueWait, Lines: s.Lines, ColdCapacity: s.ColdCapacity,
		ColdDuration: s.ColdDuration, OverloadMultiple: s.OverloadMultiple, OverloadWindow: s.OverloadWindow, RingTime: s.RingTime}
}

// listSwitch puts a switch that has long run on the list.
func (f *fleet) listSwitch(x int) {
	sw := f.switches[x]
	f.lines = append(f.lines, standin.ListEntry{ID: sw.ID(), Exchange: x, Zone: f.region(x), Phase: "ready",
		Started: f.ground.wall().Add(-longWarm), Switch: sw.Addr()})
}

// byISUP tells whether two routers signal by ISUP over M3UA.
func (f *fleet) byISUP(a, b int) bool {
	front := f.script.Fleet.Front
	return front == "m3ua" || front == "mixed" && (a+b)%2 == 1
}

// openStreams opens the links of associations: routers are told their addresses when they start.
func (g *sockets) openStreams() error {
	f := g.f
	n := f.script.Fleet.Exchanges
	for x := range n {
		if f.script.Fleet.Front == "iax2" {
			break
		}
		var err error
		if f.m3ua[x], err = freePort(); err != nil {
			return err
		}
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			if !f.byISUP(a, b) {
				continue
			}
			l, err := standin.NewStreamLink(a, b, f.m3ua[b], f.script.Seed, f.tap)
			if err != nil {
				return err
			}
			g.streams[[2]int{a, b}], f.streams[[2]int{a, b}] = l, l
			l.Set(f.linkFaults(a, b))
		}
	}
	return nil
}

func (f *fleet) notice(n capture.Notice) {
	if f.tap != nil {
		f.tap.Notice(f.ground.wall(), n)
	}
}

func (f *fleet) figures() *capture.Parameters {
	s := &f.script.Fleet
	g := &capture.Parameters{DrainGrace: s.DrainGrace, ReleaseWait: s.ReleaseWait, OverloadMultiple: s.OverloadMultiple,
		OverloadWindow: s.OverloadWindow, Patience: map[string]time.Duration{}}
	for _, c := range f.script.Classes {
		g.Patience[c.Name] = c.Patience
	}
	return g
}

func (f *fleet) region(x int) string { return f.script.Fleet.Regions[x%len(f.script.Fleet.Regions)] }

// drawGroups draws the size of each pair's group; 0 is none.
func (f *fleet) drawGroups() {
	s := &f.script.Fleet
	for a := range s.Exchanges {
		for b := a + 1; b < s.Exchanges; b++ {
			size := float64(s.Circuits) * (1 + s.CircuitSpread*(2*f.rng.Float64()-1))
			if f.rng.Float64() < s.UnlinkedShare {
				size = 0
			}
			f.circuits[[2]int{a, b}] = int(size + 0.5)
			f.keep[[2]int{a, b}] = 1
		}
	}
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// addrOf is the address by which one router knows another: an end of their link.
func (g *sockets) addrOf(viewer, exchange int) netip.AddrPort {
	if viewer == exchange {
		return g.f.at[exchange]
	}
	l := g.links[pair(viewer, exchange)]
	atA, atB := l.Ends()
	if viewer < exchange {
		return atA
	}
	return atB
}

func (f *fleet) linkFaults(a, b int) standin.LinkFaults {
	s := &f.script.Fleet
	delay := s.RegionDelay
	if f.region(a) != f.region(b) {
		delay = s.CrossRegionDelay
	}
	return standin.LinkFaults{Delay: delay, Jitter: s.Jitter, LossRate: s.LossRate, DuplicateRate: s.DuplicateRate}
}

// prefix is the beginning of the numbers that an exchange serves.
func prefix(x int) string { return fmt.Sprintf("%02d", x) }

func (f *fleet) callersSpec(x int) standin.CallersSpec {
	s := f.script
	c := standin.CallersSpec{Exchange: x, Rate: s.Load.Rate / float64(s.Fleet.Exchanges), MaxRedials: s.Load.MaxRedials,
		Backoff: s.Load.Backoff, User: fmt.Sprintf("handheld-%d", x), Secret: "let me in",
		Number: func(dest int, rng *rand.Rand) string { return fmt.Sprintf("%s%05d", prefix(dest), rng.IntN(100000)) }}
	for _, cl := range s.Classes {
		c.Classes = append(c.Classes, standin.CallerClass{Name: cl.Name, Share: cl.Share, Hold: cl.HoldTime, Patience: cl.Patience,
			Deadline: cl.Deadline})
	}
	others := float64(s.Fleet.Exchanges - 1)
	for d := range s.Fleet.Exchanges {
		w := (1 - s.Load.LocalShare) / others
		if d == x {
			w = s.Load.LocalShare
		}
		c.Weights = append(c.Weights, w)
	}
	return c
}

// settings writes a router's settings as an operator would, and reads them.
func (f *fleet) settings(x int) (*config.Settings, error) {
	s := f.script
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("[router]\nexchange = %d\nlisten = %q\ndefault_class = %q\nanswer_margin = \"120ms\"\nseed = %d", x, f.at[x], s.Classes[0].Name,
		s.Seed*1000+uint64(x)+1)
	// The wait is set over the figure that is judged by: the far end counts from when it hears of the release, and so
	// does the tap.
	p("[rules]\nrelease_wait = %q\ndrain_grace = %q\ncold_from = %v\ncold_for = %q\nfall_multiple = %v", s.Fleet.ReleaseWait+f.ground.tapDelay(),
		s.Fleet.DrainGrace, s.Fleet.ColdCapacity, s.Fleet.ColdDuration, s.Fleet.OverloadMultiple)
	p("[list]\nregister = %q\nwait = \"10s\"", f.ground.listURL(x))
	p("[iax]\nmax_per_host = 0\ncall_tokens = true\nretry_first = \"300ms\"\naccept_delay = %q\nping_every = \"2s\"\nlinger = \"2s\"", s.Fleet.AcceptDelay)
	p("[records]\ndir = %q\ntariffs = %q", f.recordsDir(x), filepath.Join(f.dir, "tariffs.toml"))
	p("[[user]]\nname = \"handheld-%d\"\nsecret = \"let me in\"", x)
	if f.m3ua[x].IsValid() {
		p("[m3ua]\nlisten = %q\n[isup]\nt1 = \"1s\"\nt5 = \"20s\"\nt16 = \"1s\"\nt17 = \"20s\"", f.m3ua[x])
	}
	p("[switch]\ncircuits = %d", s.Fleet.Lines)
	if s.Fleet.Front == "m3ua" && f.ground.isupSwitches() {
		p("front = \"isup\"\npoint_code = %d", switchPoint(x))
	}
	for _, c := range s.Classes {
		p("[[class]]\nname = %q\nhold = %q\naim = %q\ndeadline = %q\npatience = %q\nworth = %v\nlate_worth = %v\ncontexts = [%q]",
			c.Name, c.HoldTime, c.SetupTarget, c.Deadline, c.Patience, c.Value, c.LateValue, c.Name)
	}
	for y := range s.Fleet.Exchanges {
		p("[[exchange]]\nnumber = %d\nzone = %q\nprefixes = [%q]", y, f.region(y), prefix(y))
		if y == x || f.circuits[pair(x, y)] == 0 {
			continue
		}
		if !f.byISUP(x, y) {
			if size := int(float64(f.circuits[pair(x, y)]) * f.keep[pair(x, y)]); size > 0 {
				p("[[group]]\nto = %d\ncircuits = %d", y, size)
			}
			continue
		}
		p("[[group]]\nto = %d\ncircuits = %d\nfront = \"isup\"", y, f.circuits[pair(x, y)])
		if x < y {
			p("connect = [%q]", f.ground.streamAddr(pair(x, y)))
		}
	}
	return config.Parse(fmt.Sprintf("router-%d.toml", x), []byte(b.String()))
}

func (f *fleet) startRouter(x int) error {
	set, err := f.settings(x)
	if err != nil {
		return err
	}
	r, err := f.ground.begin(x, set)
	if err != nil {
		return fmt.Errorf("router %d: %w", x, err)
	}
	f.routers[x] = r
	f.notice(capture.Notice{Router: &capture.RouterState{Exchange: x, Up: true}})
	if x < len(f.callers) {
		f.callers[x].RestartSeconds()
	}
	return nil
}

// kill ends a router without a word to anybody.
func (f *fleet) kill(x int) error {
	r := f.routers[x]
	if r == nil {
		return nil
	}
	f.routers[x] = nil
	f.notice(capture.Notice{Router: &capture.RouterState{Exchange: x}})
	return r.Kill()
}

// killAll ends routers at the same time: one after the other would take seconds.
func (f *fleet) killAll(at []int) error { return f.ground.each(at, f.kill) }

// each does something to several exchanges at the same time.
func (g *sockets) each(at []int, do func(x int) error) error {
	errs := make([]error, len(at))
	var wg sync.WaitGroup
	for i, x := range at {
		wg.Go(func() { errs[i] = do(x) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// reload gives both ends of every group its present size.
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

func (f *fleet) publish() { f.register.Publish(f.script.Fleet.Exchanges, slices.Clone(f.lines)) }

// line finds the newest line of an exchange.
func (f *fleet) line(x int) *standin.ListEntry {
	for i := len(f.lines) - 1; i >= 0; i-- {
		if f.lines[i].Exchange == x {
			return &f.lines[i]
		}
	}
	return nil
}

// phase lists an exchange's processor in a phase.
func (f *fleet) phase(x int, p string) {
	f.line(x).Phase = p
	f.publish()
}

// replace starts another processor, cold, and lists it in place of the old one.
func (f *fleet) replace(x int) {
	id := f.switches[x].Restart()
	f.lines = slices.DeleteFunc(f.lines, func(l standin.ListEntry) bool { return l.Exchange == x })
	f.lines = append(f.lines, standin.ListEntry{ID: id, Exchange: x, Zone: f.region(x), Phase: "ready", Started: f.ground.wall(),
		Switch: f.switches[x].Addr()})
	f.publish()
}

// awaitLists waits until every router has learnt the list.
func (f *fleet) awaitLists() error {
	limit := time.Now().Add(20 * time.Second)
	for _, r := range f.routers {
		for known := 0; known < f.script.Fleet.Exchanges; time.Sleep(2 * time.Millisecond) {
			err := r.Do(func(n *node.Node, _ time.Duration) { known = len(n.List().Entries) })
			if err != nil {
				return err
			}
			if time.Now().After(limit) {
				return errors.New("a router did not learn the exchange list in 20 s")
			}
		}
	}
	return nil
}

// HeldResources is what is held when all should be over.
type HeldResources struct {
	Calls    int `json:"Calls"`
	Legs     int `json:"Legs"`
	Dialogs  int `json:"Dialogs"`
	Circuits int `json:"Circuits"`
}

// left adds up what routers that run hold.
func (f *fleet) left() (l HeldResources, err error) {
	for _, r := range f.routers {
		if r == nil {
			continue
		}
		derr := r.Do(func(n *node.Node, _ time.Duration) {
			l.Calls += n.Core.OpenCalls()
			l.Legs += n.Core.Legs()
			l.Dialogs += n.Dialogs() + n.ISUP().Legs()
			for _, g := range n.Core.Groups() {
				out, in := g.Used()
				l.Circuits += out + in
			}
		})
		err = errors.Join(err, derr)
	}
	return l, err
}

// awaitSignalling waits until every association is up.
func (f *fleet) awaitSignalling() error {
	limit := time.Now().Add(20 * time.Second)
	pairs := slices.Collect(maps.Keys(f.streams))
	if f.script.Fleet.Front == "m3ua" {
		for x := range f.routers {
			pairs = append(pairs, [2]int{x, x}) // its own switch
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
					return fmt.Errorf("no signalling between exchanges %d and %d in 20 s", end[0], end[1])
				}
			}
		}
	}
	return nil
}

// settle waits until nothing is held any more, or until the limit.
func (f *fleet) settle(limit time.Duration) (l HeldResources, err error) {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if l, err = f.left(); err != nil || l == (HeldResources{}) || time.Now().After(end) {
			return l, err
		}
	}
}

func (f *fleet) close() {
	for _, c := range f.callers {
		c.Close()
	}
	_ = f.stopRouters() // the day is judged; what fails now changes nothing
	for _, l := range f.links {
		l.Close()
	}
	for _, l := range f.streams {
		l.Close()
	}
	for _, s := range f.switches {
		s.Close()
	}
	if f.register != nil {
		f.register.Close()
	}
	f.closeDir()
}

func (f *fleet) closeDir() {
	if f.dir != "" {
		_ = os.RemoveAll(f.dir) // of the system's temporary files: it cleans up what stays
	}
}
