// Package isupfront maps ISUP calls, carried by M3UA associations, to the legs of the call core.
package isupfront

import (
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
)

// ConnID identifies a connection. The runtime assigns it.
type ConnID uint64

// GroupConfig configures one circuit group.
type GroupConfig struct {
	Exchange int // number of the exchange at the other end
	Circuits isup.Config
}

// Config configures a Front.
type Config struct {
	Groups      []GroupConfig
	Link        m3ua.Config
	Mode        uint32 // traffic mode of several associations to one exchange
	OwnExchange int    // number of this exchange; calls from its switch count as calls from subscribers
}

// initialHopCounter is the hop counter of a call that no tandem has forwarded. A tandem decrements it.
const initialHopCounter = 2

// Front connects circuit groups and their M3UA associations with one call core.
type Front struct {
	core             *call.Core
	config           Config
	groups           []*group // in ascending order of exchange number
	groupByPointCode map[uint32]*group
	associations     map[ConnID]*association
	associationOrder []*association
	legs             map[call.LegID]*leg
	routes           map[decide.ExchangeID]*group
	Stats            Stats
	Alarms           []Alarm // the user takes and resets them
}

// Alarm is a maintenance alarm of one circuit.
type Alarm struct {
	Exchange int
	CIC      isup.CIC
	Text     string
}

// GroupState is a snapshot of one circuit group.
type GroupState struct {
	Exchange     int
	Associations int // number of active associations
	Busy, Idle   int // numbers of circuits
	Circuits     isup.Stats
}

// GroupStates returns the state of every group, ordered by exchange number.
func (f *Front) GroupStates() (out []GroupState) {
	for _, g := range f.groups {
		out = append(out, GroupState{g.exchange, g.server.Active(), g.isup.BusyCircuits(), g.isup.IdleCircuits(), g.isup.Stats})
	}
	return out
}

// Stats are counters since the router started.
type Stats struct {
	Unsent      uint64 // messages dropped because no association was active
	UnknownPeer uint64 // messages from an unknown point code, and associations of unknown peers
	Cut         uint64 // set-ups ended because the last association to an exchange was lost
	Alarms      uint64
}

// group is a circuit group with the associations to its other end.
type group struct {
	exchange     int
	isup         *isup.Group
	ownPointCode uint32
	server       m3ua.ApplicationServer
	legs         map[*isup.Call]*leg
	// circuitsReset is set once the circuits have been reset after the start of the router. Until then the other
	// end may hold calls of an earlier incarnation.
	circuitsReset bool
}

// association is an M3UA association over one connection.
type association struct {
	id      ConnID
	link    *m3ua.Link
	group   *group // nil until the other end has identified itself
	closing bool
}

// leg is a call on a circuit.
type leg struct {
	id       call.LegID
	group    *group
	call     *isup.Call
	incoming bool
	answered bool
}

// New returns a front without associations.
func New(core *call.Core, c Config) *Front {
	f := &Front{core: core, config: c, groupByPointCode: map[uint32]*group{}, associations: map[ConnID]*association{},
		legs: map[call.LegID]*leg{}, routes: map[decide.ExchangeID]*group{}}
	for _, gc := range c.Groups {
		g := &group{exchange: gc.Exchange, isup: isup.NewGroup(gc.Circuits), ownPointCode: gc.Circuits.OwnPointCode,
			legs: map[*isup.Call]*leg{}, server: m3ua.ApplicationServer{Mode: c.Mode}}
		f.groups = append(f.groups, g)
		f.groupByPointCode[gc.Circuits.FarPointCode] = g
	}
	slices.SortFunc(f.groups, func(a, b *group) int { return a.exchange - b.exchange })
	return f
}

func bearer(k *isup.Call) call.Bearer { return call.Bearer{Front: "isup", Circuit: int(k.CIC())} }

// Serves reports whether an exchange is reached by this front.
func (f *Front) Serves(exchange int) bool { return f.group(exchange) != nil }

func (f *Front) group(exchange int) *group {
	for _, g := range f.groups {
		if g.exchange == exchange {
			return g
		}
	}
	return nil
}

// AddRoute sets the exchange to which set-ups for a processor are sent. It has no effect if the exchange has no
// circuit group.
func (f *Front) AddRoute(id decide.ExchangeID, exchange int) {
	if g := f.group(exchange); g != nil {
		f.routes[id] = g
	}
}

// RemoveRoute removes the route to a processor that left the exchange list.
func (f *Front) RemoveRoute(id decide.ExchangeID) { delete(f.routes, id) }

// Busy returns the number of circuits that are not idle.
func (f *Front) Busy() (n int) {
	for _, g := range f.groups {
		n += g.isup.BusyCircuits()
	}
	return n
}

// Legs returns the number of legs on circuits.
func (f *Front) Legs() int { return len(f.legs) }

// Active reports whether an association to an exchange is active.
func (f *Front) Active(exchange int) bool {
	g := f.group(exchange)
	return g != nil && g.server.Active() > 0
}

// Connected starts an association on a new connection. exchange is the exchange that the connection was made
// to, or -1 for an incoming connection, whose other end identifies itself by sending its point code as ASP
// identifier.
func (f *Front) Connected(now time.Duration, id ConnID, exchange int) {
	assoc := &association{id: id}
	cfg := f.config.Link
	if exchange >= 0 {
		assoc.group = f.group(exchange)
		cfg.ASPIdentifier = assoc.group.ownPointCode
	}
	assoc.link = m3ua.NewLink(now, exchange >= 0, cfg)
	f.associations[id] = assoc
	f.associationOrder = append(f.associationOrder, assoc)
}

// Receive processes bytes received on a connection.
func (f *Front) Receive(now time.Duration, id ConnID, b []byte) {
	if assoc := f.associations[id]; assoc != nil {
		assoc.link.Receive(now, b)
	}
}

// Disconnected reports that a connection was closed.
func (f *Front) Disconnected(now time.Duration, id ConnID) {
	assoc := f.associations[id]
	if assoc == nil {
		return
	}
	delete(f.associations, id)
	f.associationOrder = slices.DeleteFunc(f.associationOrder, func(o *association) bool { return o == assoc })
	f.deactivate(now, assoc)
}

// Outgoing calls write with the bytes to send on each connection, and closing for each connection that must be
// closed.
func (f *Front) Outgoing(write func(ConnID, []byte), closing func(ConnID)) {
	for i := 0; i < len(f.associationOrder); i++ {
		assoc := f.associationOrder[i]
		if len(assoc.link.Out) > 0 {
			write(assoc.id, assoc.link.Out)
			assoc.link.Out = assoc.link.Out[:0]
		}
		if assoc.closing {
			delete(f.associations, assoc.id)
			f.associationOrder = slices.Delete(f.associationOrder, i, i+1)
			i--
			closing(assoc.id)
		}
	}
}

// Next returns the time at which Advance is due; ok is false if no timer is running.
func (f *Front) Next() (at time.Duration, ok bool) {
	earliest := func(t time.Duration, has bool) {
		if has && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, assoc := range f.associationOrder {
		earliest(assoc.link.Next())
	}
	for _, g := range f.groups {
		earliest(g.isup.Next())
	}
	return at, ok
}

// Advance runs all timers that are due at now.
func (f *Front) Advance(now time.Duration) {
	for _, assoc := range f.associationOrder {
		assoc.link.Advance(now)
	}
	for _, g := range f.groups {
		g.isup.Advance(now)
	}
}

// Pump exchanges events between associations, circuit groups and the core. It reports whether there were any.
func (f *Front) Pump(now time.Duration) (processed bool) {
	for i := 0; i < len(f.associationOrder); i++ {
		assoc := f.associationOrder[i]
		for j := 0; j < len(assoc.link.Events); j++ {
			f.handleLinkEvent(now, assoc, assoc.link.Events[j])
			processed = true
		}
		assoc.link.Events = assoc.link.Events[:0]
	}
	for _, g := range f.groups {
		for j := 0; j < len(g.isup.Events); j++ {
			f.handleCallEvent(now, g, g.isup.Events[j])
			processed = true
		}
		g.isup.Events = g.isup.Events[:0]
		f.sendMessages(g)
	}
	return processed
}

// sendMessages sends a group's messages over its associations. A message that no association accepts is
// dropped. The circuits' timers, or RetransmitPending when an association becomes active, recover from the loss.
func (f *Front) sendMessages(g *group) {
	for i := range g.isup.Out {
		o := &g.isup.Out[i]
		if !g.server.Send(m3ua.Data{OPC: g.ownPointCode, DPC: g.isup.FarPointCode(), SI: m3ua.ServiceIndicatorISUP, NI: 2,
			SLS: o.SLS(), Payload: o.Data}) {
			f.Stats.Unsent++
		}
	}
	g.isup.Out = g.isup.Out[:0]
}

func (f *Front) handleLinkEvent(now time.Duration, assoc *association, e m3ua.Event) {
	switch e.Kind {
	case m3ua.Activated:
		if assoc.group == nil {
			assoc.group = f.groupByPointCode[assoc.link.PeerASP()]
		}
		if assoc.group == nil {
			f.Stats.UnknownPeer++
			assoc.closing = true
			return
		}
		assoc.group.server.Add(assoc.link)
		switch {
		case !assoc.group.circuitsReset:
			assoc.group.circuitsReset = true
			assoc.group.isup.ResetAll(now)
		case assoc.group.server.Active() == 1:
			assoc.group.isup.RetransmitPending(now)
		}
	case m3ua.Deactivated:
		f.deactivate(now, assoc)
	case m3ua.AssociationDown:
		assoc.closing = true
		f.deactivate(now, assoc)
	case m3ua.Received:
		g := f.groupByPointCode[e.Data.OPC]
		if g == nil || g != assoc.group || e.Data.SI != m3ua.ServiceIndicatorISUP || e.Data.DPC != g.ownPointCode {
			f.Stats.UnknownPeer++
			return
		}
		g.isup.Receive(now, e.Data.Payload)
	}
}

// deactivate takes an association out of service. When the last association to an exchange is lost, each set-up in
// progress there ends as cut. Standing calls continue. The release of one that ends meanwhile is retransmitted when an
// association is active again.
func (f *Front) deactivate(now time.Duration, assoc *association) {
	g := assoc.group
	if g == nil {
		return
	}
	activeBefore := g.server.Active()
	g.server.Remove(assoc.link)
	if activeBefore == 0 || g.server.Active() > 0 {
		return
	}
	var cut []*leg
	for _, l := range g.legs {
		if !l.answered {
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

func (f *Front) handleCallEvent(now time.Duration, g *group, e isup.Event) {
	if e.Kind == isup.Alarm {
		f.Stats.Alarms++
		f.Alarms = append(f.Alarms, Alarm{g.exchange, e.CIC, e.Text})
		return
	}
	if e.Kind == isup.Offered {
		f.handleOffer(now, g, e)
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
		l.answered = true
		f.core.Answered(now, l.id)
	case isup.Released:
		f.core.Released(now, l.id, call.Cause(e.Cause))
	case isup.Glare:
		f.core.Lost(now, l.id, true) // the controller observes the release wait before the next set-up
	case isup.Lost:
		f.core.Lost(now, l.id, e.Reset)
	case isup.Closed:
		delete(g.legs, e.Call)
		delete(f.legs, l.id)
		f.core.Closed(now, l.id)
	}
}

func (f *Front) handleOffer(now time.Duration, g *group, e isup.Event) {
	r, origin := e.Request, g.exchange
	if origin == f.config.OwnExchange {
		origin = call.Subscriber
	}
	l := &leg{group: g, call: e.Call, incoming: true}
	g.legs[e.Call] = l
	l.id = f.core.Offer(now, call.Origin{Exchange: origin, Bearer: bearer(e.Call)},
		call.Request{Called: r.Called, Calling: r.Calling, Context: r.UserInfo, ViaTandem: r.Hops >= 0 && r.Hops < initialHopCounter})
	f.legs[l.id] = l
	g.isup.Accept(now, e.Call) // stops T7 at the far end: the call is accepted or released at once
}

// Execute executes an output of the core. It returns false if the leg or the processor does not belong to this
// front.
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
		l.answered = true
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
	r := isup.Request{Called: o.Request.Called, Calling: o.Request.Calling, Hops: initialHopCounter, UserInfo: o.Request.Context}
	if o.Request.ViaTandem {
		r.Hops--
	}
	var k *isup.Call
	if g.server.Active() > 0 {
		k = g.isup.Seize(now, r)
	}
	if k == nil { // no active association, no idle circuit, or a number that cannot be encoded
		f.core.Released(now, o.Leg, call.NoCircuit)
		f.core.Closed(now, o.Leg)
		return true
	}
	l := &leg{id: o.Leg, group: g, call: k}
	g.legs[k], f.legs[o.Leg] = l, l
	f.core.SetBearer(o.Leg, bearer(k))
	return true
}
