package config

import (
	"strconv"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/cdr"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
)

// NodeSettings puts the settings in a router's terms. seed replaces a seed of 0, random is where call numbers and challenges
// come from, serves tells whether a called number is known.
func (s *Settings) NodeSettings(seed uint64, random func() uint64, serves func(number string) bool) node.Settings {
	x := &s.IAX
	iax := iax2.Config{MaxDialogs: x.MaxDialogs, MaxPerHost: x.MaxPerHost, RetransmitInterval: x.RetransmitInterval,
		MaxRetransmitInterval: x.MaxRetransmitInterval, MaxRetransmits: x.MaxRetransmits, AckDelay: x.AckDelay, AcceptDelay: x.AcceptDelay, Linger: x.Linger,
		PingInterval: x.PingInterval, MaxRefresh: x.MaxRefresh, RequireTokens: x.CallTokens, Random: random, OpenCalls: !x.Challenge, Exists: serves}
	if x.Challenge || len(s.User) > 0 {
		iax.Secret = s.Secret
	}
	n := node.Settings{Core: s.CallSettings(seed), IAX: iax, Zones: s.Zones, Peers: map[iax2.Addr]int{}, ISUP: s.ISUPConfig()}
	for _, g := range s.Group {
		if a, ok := iax2.AddrFrom(g.Peer); ok {
			n.Peers[a] = g.To
		}
	}
	return n
}

var outcomes = [...]string{"", "completed", "busy", "full", "timed out", "unreachable", "cut", "cancelled", "not sent"}

func outcomeName(o decide.Outcome) string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return strconv.Itoa(int(o))
}

var (
	ends   = [...]cdr.End{call.Answered: cdr.Answered, call.CutOff: cdr.Cut, call.Refused: cdr.Refused, call.Failed: cdr.Failed, call.Abandoned: cdr.Abandoned}
	knowns = [...]cdr.EndSource{call.EndedByRouter: cdr.EndedByRouter, call.EndedByCaller: cdr.EndedByCaller, call.EndedByFarEnd: cdr.EndedByFarEnd, call.EndedByLoss: cdr.EndedByLoss,
		call.EndedByTimer: cdr.EndedByTimer}
)

// CallRecord puts a core's record in the form that is kept; clock tells what its moments were on the wall.
func (s *Settings) CallRecord(clock *cdr.Clock, id cdr.ID, r *call.Record) cdr.Record {
	out := cdr.Record{ID: id, End: ends[r.End], Cause: uint8(r.Cause), EndSource: knowns[r.EndSource], Class: s.Class[r.Class].Name,
		Called: r.Called, Calling: r.Calling, User: r.User, Context: r.Context, Front: r.Bearer.Front, Circuit: r.Bearer.Circuit,
		Origin: r.Origin, Dest: r.Dest, Transit: r.Transit, Width: r.Width, Offered: clock.At(r.Offered)}
	if r.Tenant < len(s.Tenant) {
		out.Tenant = s.Tenant[r.Tenant].Name
	}
	end := r.Offered
	for i := range r.Attempts {
		a := &r.Attempts[i]
		out.Attempts = append(out.Attempts, cdr.Attempt{Exchange: a.Exchange, Tandem: a.Tandem, Front: a.Bearer.Front,
			Circuit: a.Bearer.Circuit, After: a.Sent - r.Offered, Took: a.Duration, Outcome: outcomeName(a.Outcome), Cause: uint8(a.Cause)})
		end = max(end, a.Sent+a.Duration)
	}
	if r.SetupTime > 0 {
		answered := r.Offered + r.SetupTime
		end = answered + r.Duration
		out.Answered, out.SetUp, out.Duration = clock.At(answered), r.SetupTime, r.Duration
	}
	out.Ended, out.ClockStep = clock.At(end), clock.Step(r.Offered, end)
	return out
}
