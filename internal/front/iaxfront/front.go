// Package iaxfront maps IAX2 dialogs to the legs of the call core.
package iaxfront

import (
	"strconv"
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/iax2"
)

// Front connects one IAX2 endpoint with one call core.
type Front struct {
	endpoint    *iax2.Endpoint
	core        *call.Core
	ownExchange int
	dialogs     map[call.LegID]*iax2.Dialog
	peers       map[iax2.Addr]int // exchange number by the source address of its router
	routes      map[decide.ExchangeID]iax2.Addr
}

// bearer is the bearer of all IAX2 legs: their circuits are counted and have no identity.
var bearer = call.Bearer{Front: "iax2"}

// New returns a front for the exchange with number ownExchange. cfg configures the endpoint, except for its
// Trusted function, which New sets to trust the routers of other exchanges.
func New(core *call.Core, ownExchange int, cfg iax2.Config) *Front {
	f := &Front{core: core, ownExchange: ownExchange, dialogs: map[call.LegID]*iax2.Dialog{}, peers: map[iax2.Addr]int{},
		routes: map[decide.ExchangeID]iax2.Addr{}}
	cfg.Trusted = func(a iax2.Addr) bool { _, ok := f.peers[a]; return ok }
	f.endpoint = iax2.NewEndpoint(cfg)
	return f
}

// Endpoint returns the IAX2 endpoint.
func (f *Front) Endpoint() *iax2.Endpoint { return f.endpoint }

// Dialogs returns the number of dialogs that belong to a leg.
func (f *Front) Dialogs() int { return len(f.dialogs) }

// AddRoute sets the address to which set-ups for a processor are sent.
func (f *Front) AddRoute(id decide.ExchangeID, to iax2.Addr) { f.routes[id] = to }

// RemoveRoute removes the address of a processor that left the exchange list.
func (f *Front) RemoveRoute(id decide.ExchangeID) { delete(f.routes, id) }

// SetPeers sets the routers of other exchanges, by source address. Their calls count as arriving over a trunk
// group.
func (f *Front) SetPeers(peers map[iax2.Addr]int) { f.peers = peers }

// Pump passes the endpoint's events to the core and reports whether there were any.
func (f *Front) Pump(now time.Duration) bool {
	if len(f.endpoint.Events) == 0 {
		return false
	}
	for i := 0; i < len(f.endpoint.Events); i++ {
		f.handleEvent(now, f.endpoint.Events[i])
	}
	f.endpoint.Events = f.endpoint.Events[:0]
	return true
}

func (f *Front) handleEvent(now time.Duration, e iax2.Event) {
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
		f.core.Lost(now, leg, e.Reason != iax2.NoReply) // any other reason means that the far end has no state
	case iax2.Closed:
		delete(f.dialogs, leg)
		f.core.Closed(now, leg)
	}
}

// Execute executes an output of the core. It returns false if the leg or the processor does not belong to this
// front.
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
		r.Redirecting = strconv.Itoa(f.ownExchange)
	}
	d, err := f.endpoint.Call(now, to, r)
	if err != nil { // all call numbers are in use
		f.core.Released(now, o.Leg, call.NoCircuit)
		f.core.Closed(now, o.Leg)
		return true
	}
	d.Ref = uint64(o.Leg)
	f.dialogs[o.Leg] = d
	f.core.SetBearer(o.Leg, bearer)
	return true
}
