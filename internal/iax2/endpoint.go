package iax2

import (
	"errors"
	"hash/maphash"
	"time"

	"pipitring/internal/timers"
)

// placeholder is the source call number of answers that belong to no dialog; no dialog gets it.
const placeholder = 1

// ErrNoCallNumber is returned by Call and Register when no call number is free.
var ErrNoCallNumber = errors.New("iax2: all call numbers are taken")

// Endpoint speaks IAX2 for one socket. It is not safe for concurrent use.
type Endpoint struct {
	Out    Outbox
	Events []Event // the user takes them and resets the slice
	Stats  Stats

	cfg     Config
	dialogs [MaxCallNumber + 1]*Dialog
	byPeer  map[peerKey]*Dialog
	hosts   map[[4]byte]int // incoming dialogs by untrusted host
	open    int             // dialogs that hold a call number
	numbers numberRing
	queue   timers.Queue[*Dialog]
	acks    []*Dialog // owe an ACK, oldest first
	frames  []*sent   // spare
	elems   Elements
	scratch []byte
	ies     []byte
	tokens  tokenMint
	users   map[string]*registration
	sweepAt time.Duration
	hash    maphash.Seed
}

// peerKey is a dialog as its peer names it.
type peerKey struct {
	addr Addr
	call uint16
}

// NewEndpoint returns an endpoint without dialogs.
func NewEndpoint(c Config) *Endpoint {
	c = c.withDefaults()
	ep := &Endpoint{cfg: c, byPeer: map[peerKey]*Dialog{}, hosts: map[[4]byte]int{},
		users: map[string]*registration{}, hash: maphash.MakeSeed(), ies: make([]byte, 0, 1024)}
	ep.tokens.init(c)
	ep.numbers.last = uint16(c.Random() % MaxCallNumber) // a restart begins elsewhere
	return ep
}

// DialogCount is the number of dialogs that hold a call number, closed ones that linger included.
func (ep *Endpoint) DialogCount() int { return ep.open }

// Next is when Advance has something to do; ok is false if never.
func (ep *Endpoint) Next() (at time.Duration, ok bool) {
	at, ok = ep.queue.Next()
	if len(ep.acks) > 0 && (!ok || ep.acks[0].ackDue < at) {
		return ep.acks[0].ackDue, true
	}
	return at, ok
}

// Receive takes one datagram. What it wants sent is in Out, what happened in Events.
func (ep *Endpoint) Receive(now time.Duration, from Addr, b []byte) {
	ep.Stats.In++
	var f Frame
	if err := ParseFrame(b, &f); err != nil {
		ep.Stats.Malformed++
		return
	}
	switch f.Layout {
	case Meta:
		ep.Stats.Meta++
	case Mini:
		if d := ep.byPeer[peerKey{from, f.Source}]; d != nil {
			d.relayMini(now, b)
		}
	default:
		ep.receiveFull(now, from, &f, b)
	}
}

func (ep *Endpoint) receiveFull(now time.Duration, from Addr, f *Frame, b []byte) {
	if f.Type == FrameIAX {
		if err := ep.elems.Parse(f.Payload); err != nil {
			ep.Stats.Malformed++
			return
		}
		ep.Stats.UnknownElems += uint64(len(ep.elems.Unknown))
	}
	d := ep.find(from, f)
	if d != nil && f.Dest == 0 && f.Is(New) && ep.sameWithToken(d) {
		d.opening = ep.fingerprint(b)
	}
	if d != nil && f.Dest == 0 && (f.Is(New) || f.Is(RegReq)) && d.opening != ep.fingerprint(b) {
		// The peer started anew and used the number again: what stood under it is gone.
		d.lose(now, Restarted)
		ep.free(d)
		d = nil
	}
	switch {
	case d == nil:
		ep.receiveStray(now, from, f, b)
	case d.early(f):
		d.askAgain(now, f)
	default:
		d.receive(now, f)
	}
}

// sameWithToken tells whether a NEW is that of a dialog once more, with the call token that was asked for before the
// peer came to be trusted: a copy of the first NEW has opened the dialog meanwhile.
func (ep *Endpoint) sameWithToken(d *Dialog) bool {
	e := &ep.elems
	return d.incoming && d.state == offered && len(e.Bytes(CallTokenIE)) > 0 && ep.cfg.Trusted(d.peer) &&
		e.Text(CalledNumber) == d.request.Called && e.Text(CallingNumber) == d.request.Calling
}

// fingerprint tells a repeated opening frame from another one: all but the R bit and the sequence numbers.
func (ep *Endpoint) fingerprint(b []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(ep.hash)
	h.Write(b[4:8])
	h.Write(b[10:])
	return h.Sum64()
}

// find looks a full frame's dialog up. A dialog that knows its peer's call number takes no other, save in the
// answers that are given without a dialog.
func (ep *Endpoint) find(from Addr, f *Frame) *Dialog {
	if f.Dest == 0 {
		return ep.byPeer[peerKey{from, f.Source}]
	}
	d := ep.dialogs[f.Dest]
	if d == nil || d.peer != from {
		return nil
	}
	switch {
	case d.remote == f.Source:
	case d.remote != 0, d.incoming:
		return nil
	case f.Is(Inval), f.Is(CallToken), f.Source == placeholder:
	case f.OSeq == 0:
		d.learnRemote(f.Source)
	}
	return d
}

// early tells whether a frame came before the first one of its end, or belongs to a dialog that the number had
// in an earlier life of ours.
func (d *Dialog) early(f *Frame) bool {
	return !d.incoming && d.remote == 0 && f.OSeq != 0 && !f.Is(Inval) && !f.Is(CallToken)
}

// askAgain asks for the frames before an early one, now and then: who speaks of an older dialog would answer each
// VNAK with the same frame.
func (d *Dialog) askAgain(now time.Duration, f *Frame) {
	const gap = 100 * time.Millisecond
	d.ep.Stats.Gaps++
	if d.askedAt != 0 && now < d.askedAt+gap {
		return
	}
	d.askedAt = max(now, 1)
	d.ep.sendRaw(d.peer, &Frame{Source: d.local, Dest: f.Source, Timestamp: f.Timestamp, OSeq: d.oseq, ISeq: d.iseq,
		Type: FrameIAX, Subclass: VNAK})
}

// receiveStray answers a frame that belongs to no dialog.
func (ep *Endpoint) receiveStray(now time.Duration, from Addr, f *Frame, b []byte) {
	switch {
	case f.Dest == 0 && f.Is(New):
		ep.receiveNew(now, from, f, b)
		return
	case f.Dest == 0 && (f.Is(RegReq) || f.Is(RegRel)):
		ep.receiveRegister(now, from, f, b)
		return
	case f.Dest == 0 && f.Is(Poke):
		ep.reply(from, f, Pong, nil)
		return
	}
	ep.Stats.Stray++
	if f.Type == FrameIAX {
		switch f.Subclass {
		case Ack, Inval, Pong, LagRp, CallToken, Unsupport:
			return // an answer to these would be answered in turn, or serves nobody
		}
	}
	ep.Stats.Invals++
	inval := Frame{Source: f.Dest, Dest: f.Source, Timestamp: f.Timestamp, OSeq: f.ISeq, ISeq: f.OSeq,
		Type: FrameIAX, Subclass: Inval}
	if inval.Source == 0 {
		inval.Source = placeholder
	}
	ep.sendRaw(from, &inval)
}

// reply answers a frame without a dialog.
func (ep *Endpoint) reply(to Addr, f *Frame, subclass uint32, ies []byte) {
	ep.sendRaw(to, &Frame{Source: placeholder, Dest: f.Source, Timestamp: f.Timestamp, ISeq: f.OSeq + 1,
		Type: FrameIAX, Subclass: subclass, Payload: ies})
}

func (ep *Endpoint) sendRaw(to Addr, f *Frame) {
	ep.scratch = AppendFull(ep.scratch[:0], f)
	ep.send(to, ep.scratch)
}

func (ep *Endpoint) send(to Addr, b []byte) {
	ep.Stats.Out++
	ep.Out.add(to, b)
}

// refuse rejects an opening frame without a dialog.
func (ep *Endpoint) refuse(to Addr, f *Frame, subclass uint32, cause uint8, text string) {
	ep.Stats.Rejected++
	ep.ies = AppendText(ep.ies[:0], CauseText, text)
	ep.ies = AppendUint(ep.ies, CauseCode, uint32(cause))
	ep.reply(to, f, subclass, ep.ies)
}

// admit checks what an opening frame of an untrusted host has to bring before it costs memory.
func (ep *Endpoint) admit(now time.Duration, from Addr, f *Frame, rejectBy uint32) bool {
	if ep.cfg.Trusted(from) {
		return true
	}
	if ep.cfg.RequireTokens {
		token := ep.elems.Bytes(CallTokenIE)
		switch {
		case !ep.elems.Has(CallTokenIE):
			ep.refuse(from, f, rejectBy, CauseNotSubscribed, "call token needed")
			return false
		case !ep.tokens.valid(now, from, token):
			ep.Stats.Tokens++
			ep.ies = AppendText(ep.ies[:0], CallTokenIE, ep.tokens.mint(now, from))
			ep.reply(from, f, CallToken, ep.ies)
			return false
		}
	}
	if ep.cfg.MaxPerHost > 0 && ep.hosts[from.IP] >= ep.cfg.MaxPerHost {
		ep.refuse(from, f, rejectBy, CauseCongestion, "too many dialogs of this host")
		return false
	}
	return true
}

func (ep *Endpoint) receiveNew(now time.Duration, from Addr, f *Frame, b []byte) {
	if ep.elems.Has(Version) && ep.elems.Uint(Version) != protocolVersion {
		ep.refuse(from, f, Reject, CauseProtocol, "protocol version")
		return
	}
	format := pickFormat(ep.cfg.Formats, ep.elems.Uint(Format), ep.elems.Uint(Capability))
	if format == 0 {
		ep.refuse(from, f, Reject, CauseBearer, "no common media format")
		return
	}
	if !ep.admit(now, from, f, Reject) {
		return
	}
	d := ep.newDialog(now, from)
	if d == nil {
		ep.refuse(from, f, Reject, CauseCongestion, "no call number free")
		return
	}
	e := &ep.elems
	d.open(now, f, ep.fingerprint(b))
	d.format = format
	d.request = Request{Called: e.Text(CalledNumber), Calling: e.Text(CallingNumber), User: e.Text(Username),
		CallingName: e.Text(CallingName), Context: e.Text(CalledContext), Redirecting: e.Text(RDNIS),
		Format: format}
	if ep.cfg.Secret != nil && !ep.cfg.OpenCalls && !ep.cfg.Trusted(from) {
		d.challengeCall(now)
		return
	}
	d.offer(now)
}

// pickFormat is the wanted format if both ends have it, else the lowest common one; 0 is none. A caller that
// states nothing takes what it gets.
func pickFormat(ours, wanted, theirs uint32) uint32 {
	if wanted == 0 && theirs == 0 {
		return ours & -ours
	}
	if common := wanted & ours; common != 0 {
		return common & -common
	}
	common := theirs & ours
	return common & -common
}

// Call opens a dialog to a peer.
func (ep *Endpoint) Call(now time.Duration, to Addr, r Request) (*Dialog, error) {
	d := ep.newDialog(now, to)
	if d == nil {
		return nil, ErrNoCallNumber
	}
	d.request, d.state = r, calling
	d.sendNew(now, nil)
	return d, nil
}

// newDialog takes a call number; nil if none is free.
func (ep *Endpoint) newDialog(now time.Duration, peer Addr) *Dialog {
	if ep.open >= ep.cfg.MaxDialogs {
		return nil
	}
	n := ep.numbers.take(func(n uint16) bool { return ep.dialogs[n] != nil })
	d := &Dialog{ep: ep, local: n, peer: peer, started: now}
	d.timer.Value = d
	ep.dialogs[n] = d
	ep.open++
	return d
}

// free gives a dialog's call number back. The ring hands it out again only after all others.
func (ep *Endpoint) free(d *Dialog) {
	if ep.dialogs[d.local] != d {
		return
	}
	ep.queue.Stop(&d.timer)
	ep.dialogs[d.local] = nil
	ep.open--
	if ep.byPeer[peerKey{d.peer, d.remote}] == d {
		delete(ep.byPeer, peerKey{d.peer, d.remote})
	}
	if d.counted {
		d.counted = false
		if ep.hosts[d.peer.IP]--; ep.hosts[d.peer.IP] <= 0 {
			delete(ep.hosts, d.peer.IP)
		}
	}
	d.drop(len(d.unacked))
}

// Advance does what is due by now: repeats, waiting ACKs, pings, time-outs.
func (ep *Endpoint) Advance(now time.Duration) {
	for e := ep.queue.Due(now); e != nil; e = ep.queue.Due(now) {
		e.Value.due(now)
	}
	ep.sweepRegistrations(now)
	ep.Flush(now)
}

// Flush sends the ACKs that have waited long enough for a frame to ride on.
func (ep *Endpoint) Flush(now time.Duration) {
	i := 0
	for ; i < len(ep.acks) && (!ep.acks[i].ackOwed || ep.acks[i].ackDue <= now); i++ {
		d := ep.acks[i]
		d.ackListed = false
		if d.ackOwed {
			d.sendAck()
		}
	}
	ep.acks = append(ep.acks[:0], ep.acks[i:]...)
}

// numberRing hands out call numbers in turn, so that one freed is used again as late as can be.
type numberRing struct{ last uint16 }

func (r *numberRing) take(used func(uint16) bool) uint16 {
	for {
		r.last++
		if r.last > MaxCallNumber || r.last <= placeholder {
			r.last = placeholder + 1
		}
		if !used(r.last) {
			return r.last
		}
	}
}
