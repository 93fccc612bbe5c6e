// Package node is one whole router without I/O: the call core and its fronts. The runtime drives it on sockets
// and the monotonic clock.
package node

import (
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/front/iaxfront"
	"pipitring/internal/front/isupfront"
	"pipitring/internal/iax2"
	"pipitring/internal/registry"
)

// Settings are what a router is given.
type Settings struct {
	Core call.Settings
	IAX  iax2.Config
	// Peers are addresses that routers of other exchanges send from, beside those on the list.
	Peers map[iax2.Addr]int
	// Zones are numbered in this order.
	Zones []string
	// ISUP names the exchanges that are reached by ISUP over M3UA in place of IAX2.
	ISUP isupfront.Config
}

// Node is one router.
type Node struct {
	Core  *call.Core
	front *iaxfront.Front
	isup  *isupfront.Front
	set   Settings
	list  registry.List
	start registry.StartTimes
	known bool              // a list has come
	peers map[int]iax2.Addr // where each exchange's router was last known to be
}

// New returns a router without calls or list.
func New(s Settings) *Node {
	core := call.New(s.Core)
	n := &Node{Core: core, front: iaxfront.New(core, s.Core.Decide.OwnExchange, s.IAX), set: s, peers: map[int]iax2.Addr{},
		isup: isupfront.New(core, s.ISUP)}
	n.learnPeers()
	return n
}

// IAX is the router's IAX2 endpoint: its Out holds what is to be sent.
func (n *Node) IAX() *iax2.Endpoint { return n.front.Endpoint() }

// ISUP is the router's ISUP front, which the runtime gives connections.
func (n *Node) ISUP() *isupfront.Front { return n.isup }

// Pump carries what the ISUP front was given to the core; to be called after each of its inputs.
func (n *Node) Pump(now time.Duration) { n.pump(now) }

// Dialogs is the number of dialogs that belong to a call's leg.
func (n *Node) Dialogs() int { return n.front.Dialogs() }

// DistrustedStarts counts starts on the list that no clock could have stamped rightly.
func (n *Node) DistrustedStarts() uint64 { return n.start.Distrusted }

// List is the exchange list as this router last learnt it.
func (n *Node) List() registry.List { return n.list }

// Receive takes one datagram.
func (n *Node) Receive(now time.Duration, from iax2.Addr, b []byte) {
	n.front.Endpoint().Receive(now, from, b)
	n.pump(now)
}

// Advance does what is due by now.
func (n *Node) Advance(now time.Duration) {
	n.front.Endpoint().Advance(now)
	n.isup.Advance(now)
	n.pump(now)
	n.Core.Advance(now)
	n.pump(now)
}

// Flush lets go what may ride together: to be called when all that came in has been received.
func (n *Node) Flush(now time.Duration) { n.front.Endpoint().Flush(now) }

// MarkDurable tells that all records up to a ticket are.
func (n *Node) MarkDurable(now time.Duration, ticket uint64) {
	n.Core.MarkDurable(now, ticket)
	n.pump(now)
}

// Next is when Advance has something to do.
func (n *Node) Next() (at time.Duration, ok bool) {
	at, ok = n.Core.Next()
	if e, eok := n.front.Endpoint().Next(); eok && (!ok || e < at) {
		at, ok = e, true
	}
	if e, eok := n.isup.Next(); eok && (!ok || e < at) {
		at, ok = e, true
	}
	return at, ok
}

// SetList takes the list as it is now; wall is the time of day that belongs to now.
func (n *Node) SetList(now time.Duration, wall time.Time, l registry.List) {
	news := l.Entries
	kind := decide.ListFull
	if n.known {
		news, kind = n.list.Changes(&l), decide.ListChanges
	}
	n.list, n.known = l, true
	n.start.Update(now, wall, n.set.Core.Decide.ColdDuration, &l)
	n.learnPeers()
	event := decide.ListUpdate{Kind: kind}
	for _, e := range news {
		started := time.Duration(0) // long ago
		if age := n.start.Age(now, e.ID); age < n.set.Core.Decide.ColdDuration {
			started = n.Core.Clock(now) - age
		}
		event.Entries = append(event.Entries, decide.Entry{Exchange: e.Exchange(), Number: e.Number,
			Zone: n.zone(e.Zone), Phase: e.Phase, Started: started})
		to := e.Address
		if e.Number == n.set.Core.Decide.OwnExchange {
			to = e.Switch
		}
		addr, ok := iax2.AddrFrom(to)
		switch {
		case e.Phase == decide.Removed:
			n.front.RemoveRoute(e.Exchange())
			n.isup.RemoveRoute(e.Exchange())
		case n.isup.Serves(e.Number):
			n.isup.AddRoute(e.Exchange(), e.Number)
		case ok:
			n.front.AddRoute(e.Exchange(), addr)
		}
	}
	if len(event.Entries) == 0 && kind == decide.ListChanges {
		return
	}
	n.Core.SetList(now, event)
	n.pump(now)
}

// learnPeers tells the front where calls over trunk groups come from. A router goes on to pass calls while the
// processor behind it is gone, and is known by its last address until the list names another.
func (n *Node) learnPeers() {
	for _, e := range n.list.Entries {
		if a, ok := iax2.AddrFrom(e.Address); ok && e.Number != n.set.Core.Decide.OwnExchange {
			n.peers[e.Number] = a
		}
	}
	peers := map[iax2.Addr]int{}
	for number, a := range n.peers {
		peers[a] = number
	}
	for a, number := range n.set.Peers {
		peers[a] = number
	}
	n.front.SetPeers(peers)
}

func (n *Node) zone(name string) int {
	for i, z := range n.set.Zones {
		if z == name {
			return i
		}
	}
	return len(n.set.Zones)
}

// pump carries events to the core and its outputs to the fronts until all is quiet.
func (n *Node) pump(now time.Duration) {
	for {
		worked := n.front.Pump(now)
		if !n.isup.Pump(now) && !worked && len(n.Core.Outputs) == 0 {
			return
		}
		for i := 0; i < len(n.Core.Outputs); i++ {
			o := n.Core.Outputs[i]
			if !n.front.Execute(now, o) && !n.isup.Execute(now, o) && o.Kind == call.Connect {
				// The exchange is on the module's list and has no address here: it went in this very step.
				n.Core.Released(now, o.Leg, call.NoRoute)
				n.Core.Closed(now, o.Leg)
			}
		}
		n.Core.Outputs = n.Core.Outputs[:0]
	}
}
