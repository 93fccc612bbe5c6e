// Package node assembles one router without I/O from the call core and its fronts. The runtime drives it with
// sockets and the monotonic clock.
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

// Settings configure a Node.
type Settings struct {
	Core call.Settings
	IAX  iax2.Config
	// Peers maps source addresses of routers of other exchanges to exchange numbers, in addition to the
	// addresses on the exchange list.
	Peers map[iax2.Addr]int
	// Zones are the zone names; a zone's number is its index.
	Zones []string
	// ISUP configures the exchanges that are reached by ISUP over M3UA instead of IAX2.
	ISUP isupfront.Config
}

// Node is one router.
type Node struct {
	Core      *call.Core
	iax       *iaxfront.Front
	isup      *isupfront.Front
	settings  Settings
	list      registry.List
	starts    registry.StartTimes // estimated start times of the processors on the list
	listKnown bool                // the first list has been received
	peers     map[int]iax2.Addr   // last known address of each exchange's router
}

// New returns a router without calls or exchange list.
func New(s Settings) *Node {
	core := call.New(s.Core)
	n := &Node{Core: core, iax: iaxfront.New(core, s.Core.Decide.OwnExchange, s.IAX), settings: s, peers: map[int]iax2.Addr{},
		isup: isupfront.New(core, s.ISUP)}
	n.updatePeers()
	return n
}

// IAX returns the IAX2 endpoint; its Out holds the datagrams to send.
func (n *Node) IAX() *iax2.Endpoint { return n.iax.Endpoint() }

// ISUP returns the ISUP front, to which the runtime passes its connections.
func (n *Node) ISUP() *isupfront.Front { return n.isup }

// Pump passes the events of the ISUP front to the core. It must be called after each input to the front.
func (n *Node) Pump(now time.Duration) { n.pump(now) }

// Dialogs returns the number of IAX2 dialogs that belong to a call's leg.
func (n *Node) Dialogs() int { return n.iax.Dialogs() }

// DistrustedStarts returns the number of start times on the exchange list that were rejected as implausible.
func (n *Node) DistrustedStarts() uint64 { return n.starts.Distrusted }

// List returns the last exchange list received.
func (n *Node) List() registry.List { return n.list }

// Receive processes one IAX2 datagram.
func (n *Node) Receive(now time.Duration, from iax2.Addr, b []byte) {
	n.iax.Endpoint().Receive(now, from, b)
	n.pump(now)
}

// Advance runs all timers that are due at now.
func (n *Node) Advance(now time.Duration) {
	n.iax.Endpoint().Advance(now)
	n.isup.Advance(now)
	n.pump(now)
	n.Core.Advance(now)
	n.pump(now)
}

// Flush sends delayed acknowledgements that are due. It must be called after all received datagrams have been
// processed, so that one frame can acknowledge several of them.
func (n *Node) Flush(now time.Duration) { n.iax.Endpoint().Flush(now) }

// MarkDurable reports that all records up to and including recordSeq are durable.
func (n *Node) MarkDurable(now time.Duration, recordSeq uint64) {
	n.Core.MarkDurable(now, recordSeq)
	n.pump(now)
}

// Next returns the time at which Advance is due; ok is false if no timer is running.
func (n *Node) Next() (at time.Duration, ok bool) {
	at, ok = n.Core.Next()
	if e, eok := n.iax.Endpoint().Next(); eok && (!ok || e < at) {
		at, ok = e, true
	}
	if e, eok := n.isup.Next(); eok && (!ok || e < at) {
		at, ok = e, true
	}
	return at, ok
}

// SetList applies the current exchange list; wall is the time of day at now.
func (n *Node) SetList(now time.Duration, wall time.Time, l registry.List) {
	changed := l.Entries
	kind := decide.ListFull
	if n.listKnown {
		changed, kind = n.list.Changes(&l), decide.ListChanges
	}
	n.list, n.listKnown = l, true
	n.starts.Update(now, wall, n.settings.Core.Decide.ColdDuration, &l)
	n.updatePeers()
	event := decide.ListUpdate{Kind: kind}
	for _, e := range changed {
		started := time.Duration(0) // long ago
		if age := n.starts.Age(now, e.ID); age < n.settings.Core.Decide.ColdDuration {
			started = n.Core.ControllerTime(now) - age
		}
		event.Entries = append(event.Entries, decide.Entry{Exchange: e.ExchangeID(), Number: e.Number,
			Zone: n.zoneIndex(e.Zone), Phase: e.Phase, Started: started})
		to := e.Address
		if e.Number == n.settings.Core.Decide.OwnExchange {
			to = e.Switch
		}
		addr, ok := iax2.AddrFrom(to)
		switch {
		case e.Phase == decide.Removed:
			n.iax.RemoveRoute(e.ExchangeID())
			n.isup.RemoveRoute(e.ExchangeID())
		case n.isup.Serves(e.Number):
			n.isup.AddRoute(e.ExchangeID(), e.Number)
		case ok:
			n.iax.AddRoute(e.ExchangeID(), addr)
		}
	}
	if len(event.Entries) == 0 && kind == decide.ListChanges {
		return
	}
	n.Core.SetList(now, event)
	n.pump(now)
}

// updatePeers passes the addresses of other exchanges' routers to the front. A router keeps forwarding calls
// while its exchange's processor is removed from the list, so its last known address stays valid until the list
// gives another.
func (n *Node) updatePeers() {
	for _, e := range n.list.Entries {
		if a, ok := iax2.AddrFrom(e.Address); ok && e.Number != n.settings.Core.Decide.OwnExchange {
			n.peers[e.Number] = a
		}
	}
	peers := map[iax2.Addr]int{}
	for number, a := range n.peers {
		peers[a] = number
	}
	for a, number := range n.settings.Peers {
		peers[a] = number
	}
	n.iax.SetPeers(peers)
}

func (n *Node) zoneIndex(name string) int {
	for i, z := range n.settings.Zones {
		if z == name {
			return i
		}
	}
	return len(n.settings.Zones)
}

// pump passes events to the core and its outputs to the fronts until there are none left.
func (n *Node) pump(now time.Duration) {
	for {
		processed := n.iax.Pump(now)
		if !n.isup.Pump(now) && !processed && len(n.Core.Outputs) == 0 {
			return
		}
		for i := 0; i < len(n.Core.Outputs); i++ {
			o := n.Core.Outputs[i]
			if !n.iax.Execute(now, o) && !n.isup.Execute(now, o) && o.Kind == call.Connect {
				// The controller chose the processor before it processed the list update that removed it in the same
				// step.
				n.Core.Released(now, o.Leg, call.NoRoute)
				n.Core.Closed(now, o.Leg)
			}
		}
		n.Core.Outputs = n.Core.Outputs[:0]
	}
}
