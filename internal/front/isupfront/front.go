// Package isupfront binds ISUP calls, carried by M3UA associations, to the legs of the call core. It decides nothing.
package isupfront

import (
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
)

// ConnID names one connection of the runtime's.
type ConnID uint64

// GroupConfig sets one group of circuits.
type GroupConfig struct {
	Exchange int // number of the exchange at the other end
	Circuits isup.Config
}

// Config sets a front.
type Config struct {
	Groups      []GroupConfig
	Link        m3ua.Config
	Mode        uint32 // of traffic over several associations to one exchange
	OwnExchange int    // number of the own exchange: calls from its switch are subscribers'
}

// firstHops is the hop counter of a call that no tandem has passed on; a tandem sends one less.
const firstHops = 2

// Front joins groups of circuits, their associations and one Core.
type Front struct {
	core   *call.Core
	cfg    Config
	groups []*group // by exchange, rising
	byPC   map[uint32]*group
	conns  map[ConnID]*conn
	order  []*conn
	legs   map[call.LegID]*leg
	routes map[decide.ExchangeID]*group
	Stats  Stats
	Alarms []Alarm // for maintenance; the user takes them and resets the slice
}

// Alarm is what maintenance has to look at.
type Alarm struct {
	Exchange int
	CIC      isup.CIC
	Text     string
}

// GroupState is what is seen of one group.
type GroupState struct {
	Exchange     int
	Associations int // active
	Busy, Idle   int // circuits
	Circuits     isup.Stats
}

// GroupStates tells the state of every group, by exchange.
func (f *Front) GroupStates() (out []GroupState) {
	for _, g := range f.groups {
		out = append(out, GroupState{g.exchange, g.server.Active(), g.isup.BusyCircuits(), g.isup.IdleCircuits(), g.isup.Stats})
	}
	return out
}

// Stats count since the start.
type Stats struct {
	Unsent      uint64 // messages that no association could take
	UnknownPeer uint64 // messages of point codes that no group leads to, or connections of strangers
	Cut         uint64 // set-ups ended because the last association to an exchange was lost
	Alarms      uint64
}

// group is one group of circuits and the associations to its other end.
type group struct {
	exchange int
	isup     *isup.Group
	own      uint32
	server   m3ua.ApplicationServer
	legs     map[*isup.Call]*leg
	reset    bool // since the start; before, the other end may hold calls of an earlier life
}

// conn is one association.
type conn struct {
	id    ConnID
	link  *m3ua.Link
	group *group // nil until the other end has told who it is
	dead  bool
}

// leg is a call on a circuit.
type leg struct {
	id       call.LegID
	group    *group
	call     *isup.Call
	incoming bool
	stands   bool
}

// New returns a front without associations.
func New(core *call.Core, c Config) *Front {
	f := &Front{core: core, cfg: c, byPC: map[uint32]*group{}, conns: map[ConnID]*conn{}, legs: map[call.LegID]*leg{},
		routes: map[decide.ExchangeID]*group{}}
	for _, gc := range c.Groups {
		g := &group{exchange: gc.Exchange, isup: isup.NewGroup(gc.Circuits), own: gc.Circuits.OwnPointCode, legs: map[*isup.Call]*leg{},
			server: m3ua.ApplicationServer{Mode: c.Mode}}
		f.groups = append(f.groups, g)
		f.byPC[gc.Circuits.FarPointCode] = g
	}
	slices.SortFunc(f.groups, func(a, b *group) int { return a.exchange - b.exchange })
	return f
}

func bearer(k *isup.Call) call.Bearer { return call.Bearer{Front: "isup", Circuit: int(k.CIC())} }

// Serves tells whether an exchange is reached by this front.
func (f *Front) Serves(exchange int) bool { return f.group(exchange) != nil }

func (f *Front) group(exchange int) *group {
	for _, g := range f.groups {
		if g.exchange == exchange {
			return g
		}
	}
	return nil
}

// AddRoute tells which exchange a processor stands at.
func (f *Front) AddRoute(id decide.ExchangeID, exchange int) {
	if g := f.group(exchange); g != nil {
		f.routes[id] = g
	}
}

// RemoveRoute forgets a processor that is gone.
func (f *Front) RemoveRoute(id decide.ExchangeID) { delete(f.routes, id) }

// Busy is the number of circuits that are not idle; Legs that of legs on them.
func (f *Front) Busy() (n int) {
	for _, g := range f.groups {
		n += g.isup.BusyCircuits()
	}
	return n
}

// Legs is the number of legs on circuits.
func (f *Front) Legs() int { return len(f.legs) }

// Active tells whether signalling to an exchange is up.
func (f *Front) Active(exchange int) bool {
	g := f.group(exchange)
	return g != nil && g.server.Active() > 0
}

// Connected begins an association on a new connection. exchange is the one that it was made to; -1 where the
// other end connected, which tells by its ASP identifier who it is: its point code.
func (f *Front) Connected(now time.Duration, id ConnID, exchange int) {
	k := &conn{id: id}
	cfg := f.cfg.Link
	if exchange >= 0 {
		k.group = f.group(exchange)
		cfg.ASP = k.group.own
	}
	k.link = m3ua.NewLink(now, exchange >= 0, cfg)
	f.conns[id] = k
	f.order = append(f.order, k)
}

// Receive takes bytes of a connection.
func (f *Front) Receive(now time.Duration, id ConnID, b []byte) {
	if k := f.conns[id]; k != nil {
		k.link.Receive(now, b)
	}
}

// Disconnected tells that a connection is gone.
func (f *Front) Disconnected(now time.Duration, id ConnID) {
	k := f.conns[id]
	if k == nil {
		return
	}
	delete(f.conns, id)
	f.order = slices.DeleteFunc(f.order, func(o *conn) bool { return o == k })
	f.inactive(now, k)
}

// Outgoing calls write with the bytes that a connection is to send, and closing for each that has to be closed.
func (f *Front) Outgoing(write func(ConnID, []byte), closing func(ConnID)) {
	for i := 0; i < len(f.order); i++ {
		k := f.order[i]
		if len(k.link.Out) > 0 {
			write(k.id, k.link.Out)
			k.link.Out = k.link.Out[:0]
		}
		if k.dead {
			delete(f.conns, k.id)
			f.order = slices.Delete(f.order, i, i+1)
			i--
			closing(k.id)
		}
	}
}

// Next is when Advance has something to do.
func (f *Front) Next() (at time.Duration, ok bool) {
	sooner := func(t time.Duration, has bool) {
		if has && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, k := range f.order {
		sooner(k.link.Next())
	}
	for _, g := range f.groups {
		sooner(g.isup.Next())
	}
	return at, ok
}

// Advance does what is due.
func (f *Front) Advance(now time.Duration) {
	for _, k := range f.order {
		k.link.Advance(now)
	}
	for _, g := range f.groups {
		g.isup.Advance(now)
	}
}

// Pump carries what links and circuits did to each other and to the core; it reports whether there was anything.
func (f *Front) Pump(now time.Duration) (any bool) {
	for i := 0; i < len(f.order); i++ {
		k := f.order[i]
		for j := 0; j < len(k.link.Events); j++ {
			f.linkEvent(now, k, k.link.Events[j])
			any = true
		}
		k.link.Events = k.link.Events[:0]
	}
	for _, g := range f.groups {
		for j := 0; j < len(g.isup.Events); j++ {
			f.callEvent(now, g, g.isup.Events[j])
			any = true
		}
		g.isup.Events = g.isup.Events[:0]
		f.sendOut(g)
	}
	return any
}

// sendOut hands a group's messages to its associations. What none takes is lost: the timers of the circuits, or
// Resume when one is up again, make up for it.
func (f *Front) sendOut(g *group) {
	for i := range g.isup.Out {
		o := &g.isup.Out[i]
		if !g.server.Send(m3ua.Data{OPC: g.own, DPC: g.isup.FarPointCode(), SI: m3ua.ServiceIndicatorISUP, NI: 2, SLS: o.SLS(), Payload: o.Data}) {
			f.Stats.Unsent++
		}
	}
	g.isup.Out = g.isup.Out[:0]
}

func (f *Front) linkEvent(now time.Duration, k *conn, e m3ua.Event) {
	switch e.Kind {
	case m3ua.Activated:
		if k.group == nil {
			k.group = f.byPC[k.link.PeerASP()]
		}
		if k.group == nil {
			f.Stats.UnknownPeer++
			k.dead = true
			return
		}
		k.group.server.Add(k.link)
		switch {
		case !k.group.reset:
			k.group.reset = true
			k.group.isup.ResetAll(now)
		case k.group.server.Active() == 1:
			k.group.isup.RetransmitPending(now)
		}
	case m3ua.Deactivated:
		f.inactive(now, k)
	case m3ua.AssociationDown:
		k.dead = true
		f.inactive(now, k)
	case m3ua.Received:
		g := f.byPC[e.Data.OPC]
		if g == nil || g != k.group || e.Data.SI != m3ua.ServiceIndicatorISUP || e.Data.DPC != g.own {
			f.Stats.UnknownPeer++
			return
		}
		g.isup.Receive(now, e.Data.Payload)
	}
}

// inactive takes an association out of service. With the last one to an exchange the calls in set-up there end as
// cut, once; those that stand stay, and are released when an association is up again.
func (f *Front) inactive(now time.Duration, k *conn) {
	g := k.group
	if g == nil {
		return
	}
	was := g.server.Active()
	g.server.Remove(k.link)
	if was == 0 || g.server.Active() > 0 {
		return
	}
	var cut []*leg
	for _, l := range g.legs {
		if !l.stands {
			cut = append(cut, l)
		}
	}
	slices.SortFunc(cut, func(a, b *leg) int { return int(a.id) - int(b.id) })
	for _, l := range cut {
		f.Stats.Cut++
		f.core.Lost(now, l.id, true)
		g.isup.Release(now, l.call, uint8(call.TemporaryFailure))
	}
}

func (f *Front) callEvent(now time.Duration, g *group, e isup.Event) {
	if e.Kind == isup.Alarm {
		f.Stats.Alarms++
		f.Alarms = append(f.Alarms, Alarm{g.exchange, e.CIC, e.Text})
		return
	}
	if e.Kind == isup.Offered {
		f.offered(now, g, e)
		return
	}
	l := g.legs[e.Call]
	if l == nil {
		return
	}
	switch e.Kind {
	case isup.Accepted:
		f.core.Acknowledged(now, l.id)
	case isup.Answered:
		l.stands = true
		f.core.Answered(now, l.id)
	case isup.Released:
		f.core.Released(now, l.id, call.Cause(e.Cause))
	case isup.Glare:
		f.core.Lost(now, l.id, true) // what it held is awaited before the call goes out again
	case isup.Lost:
		f.core.Lost(now, l.id, e.Reset)
	case isup.Closed:
		delete(g.legs, e.Call)
		delete(f.legs, l.id)
		f.core.Closed(now, l.id)
	}
}

func (f *Front) offered(now time.Duration, g *group, e isup.Event) {
	r, origin := e.Request, g.exchange
	if origin == f.cfg.OwnExchange {
		origin = call.Subscriber
	}
	l := &leg{group: g, call: e.Call, incoming: true}
	g.legs[e.Call] = l
	l.id = f.core.Offer(now, call.Origin{Exchange: origin, Bearer: bearer(e.Call)}, call.Request{Called: r.Called, Calling: r.Calling,
		Context: r.UserInfo, ViaTandem: r.Hops >= 0 && r.Hops < firstHops})
	f.legs[l.id] = l
	g.isup.Accept(now, e.Call) // the far end may stop T7: the call is taken, or its release follows at once
}

// Execute does what the core asks of one of this front's legs; false if the leg is none of them.
func (f *Front) Execute(now time.Duration, o call.Output) bool {
	if o.Kind == call.Connect {
		return f.connect(now, o)
	}
	l := f.legs[o.Leg]
	if l == nil {
		return false
	}
	switch o.Kind {
	case call.Answer:
		l.stands = true
		l.group.isup.Answer(now, l.call)
	case call.Release:
		l.group.isup.Release(now, l.call, uint8(o.Cause))
	}
	return true
}

func (f *Front) connect(now time.Duration, o call.Output) bool {
	g := f.routes[o.Exchange]
	if g == nil {
		return false
	}
	r := isup.Request{Called: o.Request.Called, Calling: o.Request.Calling, Hops: firstHops, UserInfo: o.Request.Context}
	if o.Request.ViaTandem {
		r.Hops--
	}
	var k *isup.Call
	if g.server.Active() > 0 {
		k = g.isup.Seize(now, r)
	}
	if k == nil { // no signalling, no idle circuit or a number that cannot be sent
		f.core.Released(now, o.Leg, call.NoCircuit)
		f.core.Closed(now, o.Leg)
		return true
	}
	l := &leg{id: o.Leg, group: g, call: k}
	g.legs[k], f.legs[o.Leg] = l, l
	f.core.SetBearer(o.Leg, bearer(k))
	return true
}
