// Package iaxfront binds IAX2 dialogs to the legs of the call core. It decides nothing.
package iaxfront

import (
	"strconv"
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/iax2"
)

// Front joins one Endpoint and one Core.
type Front struct {
	ep      *iax2.Endpoint
	core    *call.Core
	own     int
	dialogs map[call.LegID]*iax2.Dialog
	peers   map[iax2.Addr]int // exchange number by the address that its router sends from
	routes  map[decide.ExchangeID]iax2.Addr
}

// bearer is what legs of this front go over: its circuits are counted and have no identity.
var bearer = call.Bearer{Front: "iax2"}

// New returns a front; own is the number of the own exchange, cfg the endpoint's settings. Routers of other
// exchanges are trusted.
func New(core *call.Core, own int, cfg iax2.Config) *Front {
	f := &Front{core: core, own: own, dialogs: map[call.LegID]*iax2.Dialog{}, peers: map[iax2.Addr]int{},
		routes: map[decide.ExchangeID]iax2.Addr{}}
	cfg.Trusted = func(a iax2.Addr) bool { _, ok := f.peers[a]; return ok }
	f.ep = iax2.NewEndpoint(cfg)
	return f
}

// Endpoint is the protocol's side.
func (f *Front) Endpoint() *iax2.Endpoint { return f.ep }

// Dialogs is the number of dialogs that belong to a leg.
func (f *Front) Dialogs() int { return len(f.dialogs) }

// AddRoute tells where set-ups to a processor go.
func (f *Front) AddRoute(id decide.ExchangeID, to iax2.Addr) { f.routes[id] = to }

// RemoveRoute forgets a processor that is gone.
func (f *Front) RemoveRoute(id decide.ExchangeID) { delete(f.routes, id) }

// SetPeers tells which routers calls over trunk groups come from, by address.
func (f *Front) SetPeers(peers map[iax2.Addr]int) { f.peers = peers }

// Pump hands the endpoint's events to the core; it reports whether there were any.
func (f *Front) Pump(now time.Duration) bool {
	if len(f.ep.Events) == 0 {
		return false
	}
	for i := 0; i < len(f.ep.Events); i++ {
		f.event(now, f.ep.Events[i])
	}
	f.ep.Events = f.ep.Events[:0]
	return true
}

func (f *Front) event(now time.Duration, e iax2.Event) {
	if e.Dialog == nil {
		return
	}
	leg := call.LegID(e.Dialog.Ref)
	switch e.Kind {
	case iax2.Offered:
		origin := call.Subscriber
		if n, ok := f.peers[e.From]; ok {
			origin = n
		}
		r := e.Request
		leg = f.core.Offer(now, call.Origin{Exchange: origin, Bearer: bearer}, call.Request{Called: r.Called, Calling: r.Calling,
			Name: r.CallingName, Context: r.Context, User: r.User, ViaTandem: origin != call.Subscriber && r.Redirecting != ""})
		e.Dialog.Ref = uint64(leg)
		f.dialogs[leg] = e.Dialog
	case iax2.Accepted:
		f.core.Acknowledged(now, leg)
	case iax2.Progress:
		f.core.Progressed(now, leg)
	case iax2.Answered:
		f.core.Answered(now, leg)
	case iax2.Released:
		f.core.Released(now, leg, call.Cause(e.Cause))
	case iax2.Lost:
		f.core.Lost(now, leg, e.Reason != iax2.NoReply)
	case iax2.Closed:
		delete(f.dialogs, leg)
		f.core.Closed(now, leg)
	}
}

// Execute does what the core asks of one of this front's legs; false if the leg is none of them.
func (f *Front) Execute(now time.Duration, o call.Output) bool {
	if o.Kind == call.Connect {
		return f.connect(now, o)
	}
	d := f.dialogs[o.Leg]
	if d == nil {
		return false
	}
	switch o.Kind {
	case call.Proceed:
		d.Ringing(now)
	case call.Answer:
		d.Answer(now)
		if other := f.dialogs[o.Other]; other != nil {
			d.Bridge(other)
		}
	case call.Release:
		d.Release(now, uint8(o.Cause), o.Text)
	}
	return true
}

func (f *Front) connect(now time.Duration, o call.Output) bool {
	to, ok := f.routes[o.Exchange]
	if !ok {
		return false
	}
	r := iax2.Request{Called: o.Request.Called, Calling: o.Request.Calling, CallingName: o.Request.Name,
		Context: o.Request.Context, User: o.Request.User}
	if o.Request.ViaTandem {
		r.Redirecting = strconv.Itoa(f.own)
	}
	d, err := f.ep.Call(now, to, r)
	if err != nil { // no call number: this router has no room for it
		f.core.Released(now, o.Leg, call.NoCircuit)
		f.core.Closed(now, o.Leg)
		return true
	}
	d.Ref = uint64(o.Leg)
	f.dialogs[o.Leg] = d
	f.core.SetBearer(o.Leg, bearer)
	return true
}
