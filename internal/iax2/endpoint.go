package iax2

import (
	"errors"
	"hash/maphash"
	"time"

	"pipitring/internal/timers"
)

// placeholderCallNumber is the source call number of answers sent without a dialog; no dialog is assigned it.
const placeholderCallNumber = 1

// ErrNoCallNumber is returned by Call and Register when MaxDialogs dialogs are open.
var ErrNoCallNumber = errors.New("iax2: no call number free: dialog limit reached")

// Endpoint implements IAX2 for one UDP socket. It is not safe for concurrent use.
type Endpoint struct {
	Out    Outbox
	Events []Event // in order; the application takes them and resets the slice
	Stats  Stats

	cfg             Config
	dialogs         [MaxCallNumber + 1]*Dialog
	byPeer          map[peerKey]*Dialog
	dialogsByHost   map[[4]byte]int // number of incoming dialogs by untrusted host
	openDialogs     int             // dialogs that hold a call number, including lingering ones
	callNumbers     callNumberAllocator
	timerQueue      timers.Queue[*Dialog]
	pendingAcks     []*Dialog    // dialogs with a pending ACK, oldest first
	freeFrames      []*sentFrame // free list
	elements        Elements     // information elements of the frame being received
	scratch         []byte       // buffer for a datagram to send
	ies             []byte       // buffer for information elements to send
	tokens          tokenIssuer
	registeredUsers map[string]*registeredUser
	sweepAt         time.Duration
	hashSeed        maphash.Seed
}

// peerKey identifies a dialog by the peer's address and call number.
type peerKey struct {
	addr Addr
	call uint16
}

// NewEndpoint returns an endpoint without dialogs.
func NewEndpoint(c Config) *Endpoint {
	c = c.withDefaults()
	ep := &Endpoint{cfg: c, byPeer: map[peerKey]*Dialog{}, dialogsByHost: map[[4]byte]int{},
		registeredUsers: map[string]*registeredUser{}, hashSeed: maphash.MakeSeed(), ies: make([]byte, 0, 1024)}
	ep.tokens.init(c)
	// Start at a random call number: the numbers should differ from those used before a restart.
	ep.callNumbers.last = uint16(c.Random() % MaxCallNumber)
	return ep
}

// DialogCount returns the number of dialogs that hold a call number, including closed ones within their linger
// time.
func (ep *Endpoint) DialogCount() int { return ep.openDialogs }

// Next returns the time at which Advance is next due; ok is false if nothing is pending.
func (ep *Endpoint) Next() (at time.Duration, ok bool) {
	at, ok = ep.timerQueue.Next()
	if len(ep.pendingAcks) > 0 && (!ok || ep.pendingAcks[0].ackDue < at) {
		return ep.pendingAcks[0].ackDue, true
	}
	return at, ok
}

// Receive handles one datagram. Answers are added to Out and events to Events.
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
		if err := ep.elements.Parse(f.Payload); err != nil {
			ep.Stats.Malformed++
			return
		}
		ep.Stats.UnknownElements += uint64(len(ep.elements.Unknown))
	}
	d := ep.findDialog(from, f)
	if d != nil && f.Dest == 0 && f.Is(New) && ep.repeatsNewWithToken(d) {
		d.openingFingerprint = ep.fingerprint(b)
	}
	if d != nil && f.Dest == 0 && (f.Is(New) || f.Is(RegReq)) && d.openingFingerprint != ep.fingerprint(b) {
		// The peer has restarted and reuses the call number: the dialog that had it is lost.
		d.markLost(now, Restarted)
		ep.freeDialog(d)
		d = nil
	}
	switch {
	case d == nil:
		ep.receiveUnmatched(now, from, f, b)
	case d.missesFirstFrame(f):
		d.requestMissingFrames(now, f)
	default:
		d.receive(now, f)
	}
}

// repeatsNewWithToken reports whether the NEW just parsed repeats that of dialog d and only adds a call token.
// This happens when the token was requested before the peer became trusted, and a copy of the first NEW then
// opened the dialog.
func (ep *Endpoint) repeatsNewWithToken(d *Dialog) bool {
	e := &ep.elements
	return d.incoming && d.state == offered && len(e.Bytes(CallTokenIE)) > 0 && ep.cfg.Trusted(d.peer) &&
		e.Text(CalledNumber) == d.request.Called && e.Text(CallingNumber) == d.request.Calling
}

// fingerprint returns a hash of an opening frame, by which a retransmission can be told from another frame. It covers
// all but the call numbers, the R bit and the sequence numbers.
func (ep *Endpoint) fingerprint(b []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(ep.hashSeed)
	h.Write(b[4:8])
	h.Write(b[10:])
	return h.Sum64()
}

// findDialog returns the dialog of a full frame, or nil. A dialog whose remote call number is known accepts
// frames from that number only. Before that, an outgoing dialog learns the number from the first frame of the
// peer; INVAL, CALLTOKEN and answers sent without a dialog do not set it.
func (ep *Endpoint) findDialog(from Addr, f *Frame) *Dialog {
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
	case f.Is(Inval), f.Is(CallToken), f.Source == placeholderCallNumber:
	case f.OSeq == 0:
		d.setRemote(f.Source)
	}
	return d
}

// missesFirstFrame reports whether a frame arrived before the first frame of the peer, or belongs to a dialog
// that had the same call number before this endpoint restarted.
func (d *Dialog) missesFirstFrame(f *Frame) bool {
	return !d.incoming && d.remote == 0 && f.OSeq != 0 && !f.Is(Inval) && !f.Is(CallToken)
}

// requestMissingFrames sends VNAK for the frames before f, at most once per minInterval: a peer that still has
// a dialog from before our restart would answer each VNAK with the same frame again.
func (d *Dialog) requestMissingFrames(now time.Duration, f *Frame) {
	const minInterval = 100 * time.Millisecond
	d.ep.Stats.Gaps++
	if d.vnakSentAt != 0 && now < d.vnakSentAt+minInterval {
		return
	}
	d.vnakSentAt = max(now, 1)
	d.ep.sendRaw(d.peer, &Frame{Source: d.local, Dest: f.Source, Timestamp: f.Timestamp, OSeq: d.oseq, ISeq: d.iseq,
		Type: FrameIAX, Subclass: VNAK})
}

// receiveUnmatched handles a frame that belongs to no dialog.
func (ep *Endpoint) receiveUnmatched(now time.Duration, from Addr, f *Frame, b []byte) {
	switch {
	case f.Dest == 0 && f.Is(New):
		ep.receiveNew(now, from, f, b)
		return
	case f.Dest == 0 && (f.Is(RegReq) || f.Is(RegRel)):
		ep.receiveRegistration(now, from, f, b)
		return
	case f.Dest == 0 && f.Is(Poke):
		ep.reply(from, f, Pong, nil)
		return
	}
	ep.Stats.Stray++
	if f.Type == FrameIAX {
		switch f.Subclass {
		case Ack, Inval, Pong, LagRp, CallToken, Unsupport:
			return // INVAL would be of no use to the peer, or the two ends would answer each other without end
		}
	}
	ep.Stats.Invals++
	inval := Frame{Source: f.Dest, Dest: f.Source, Timestamp: f.Timestamp, OSeq: f.ISeq, ISeq: f.OSeq,
		Type: FrameIAX, Subclass: Inval}
	if inval.Source == 0 {
		inval.Source = placeholderCallNumber
	}
	ep.sendRaw(from, &inval)
}

// reply answers a frame outside any dialog.
func (ep *Endpoint) reply(to Addr, f *Frame, subclass uint32, ies []byte) {
	ep.sendRaw(to, &Frame{Source: placeholderCallNumber, Dest: f.Source, Timestamp: f.Timestamp, ISeq: f.OSeq + 1,
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

// rejectOpening rejects an opening frame without creating a dialog.
func (ep *Endpoint) rejectOpening(to Addr, f *Frame, subclass uint32, cause uint8, text string) {
	ep.Stats.Rejected++
	ep.ies = AppendText(ep.ies[:0], CauseText, text)
	ep.ies = AppendUint(ep.ies, CauseCode, uint32(cause))
	ep.reply(to, f, subclass, ep.ies)
}

// admit checks the call token and the dialog limit of an untrusted host before any memory is allocated for its
// opening frame. If it returns false, it has answered the frame: with a call token or with rejectSubclass.
func (ep *Endpoint) admit(now time.Duration, from Addr, f *Frame, rejectSubclass uint32) bool {
	if ep.cfg.Trusted(from) {
		return true
	}
	if ep.cfg.RequireTokens {
		token := ep.elements.Bytes(CallTokenIE)
		switch {
		case !ep.elements.Has(CallTokenIE):
			ep.rejectOpening(from, f, rejectSubclass, CauseNotSubscribed, "call token needed")
			return false
		case !ep.tokens.valid(now, from, token):
			ep.Stats.TokensIssued++
			ep.ies = AppendText(ep.ies[:0], CallTokenIE, ep.tokens.issue(now, from))
			ep.reply(from, f, CallToken, ep.ies)
			return false
		}
	}
	if ep.cfg.MaxPerHost > 0 && ep.dialogsByHost[from.IP] >= ep.cfg.MaxPerHost {
		ep.rejectOpening(from, f, rejectSubclass, CauseCongestion, "too many dialogs of this host")
		return false
	}
	return true
}

func (ep *Endpoint) receiveNew(now time.Duration, from Addr, f *Frame, b []byte) {
	if ep.elements.Has(Version) && ep.elements.Uint(Version) != protocolVersion {
		ep.rejectOpening(from, f, Reject, CauseProtocol, "protocol version")
		return
	}
	format := chooseFormat(ep.cfg.Formats, ep.elements.Uint(Format), ep.elements.Uint(Capability))
	if format == 0 {
		ep.rejectOpening(from, f, Reject, CauseBearer, "no common media format")
		return
	}
	if !ep.admit(now, from, f, Reject) {
		return
	}
	d := ep.newDialog(now, from)
	if d == nil {
		ep.rejectOpening(from, f, Reject, CauseCongestion, "no call number free")
		return
	}
	e := &ep.elements
	d.openIncoming(now, f, ep.fingerprint(b))
	d.format = format
	d.request = Request{Called: e.Text(CalledNumber), Calling: e.Text(CallingNumber), User: e.Text(Username),
		CallingName: e.Text(CallingName), Context: e.Text(CalledContext), Redirecting: e.Text(RDNIS),
		Format: format}
	if ep.cfg.Secret != nil && !ep.cfg.AcceptUnauthenticated && !ep.cfg.Trusted(from) {
		d.challengeCall(now)
		return
	}
	d.offer(now)
}

// chooseFormat returns the requested format if it is supported here, otherwise the lowest one that is in the
// caller's capability and supported, or 0 if there is none. A caller that states neither gets the lowest
// supported format.
func chooseFormat(supported, requested, capability uint32) uint32 {
	if requested == 0 && capability == 0 {
		return supported & -supported
	}
	if common := requested & supported; common != 0 {
		return common & -common
	}
	common := capability & supported
	return common & -common
}

// Call opens a call to a peer. It returns ErrNoCallNumber if MaxDialogs dialogs are open.
func (ep *Endpoint) Call(now time.Duration, to Addr, r Request) (*Dialog, error) {
	d := ep.newDialog(now, to)
	if d == nil {
		return nil, ErrNoCallNumber
	}
	d.request, d.state = r, calling
	d.sendNew(now, nil)
	return d, nil
}

// newDialog assigns a call number to a new dialog; it returns nil if MaxDialogs dialogs are open.
func (ep *Endpoint) newDialog(now time.Duration, peer Addr) *Dialog {
	if ep.openDialogs >= ep.cfg.MaxDialogs {
		return nil
	}
	n := ep.callNumbers.next(func(n uint16) bool { return ep.dialogs[n] != nil })
	d := &Dialog{ep: ep, local: n, peer: peer, started: now}
	d.timer.Value = d
	ep.dialogs[n] = d
	ep.openDialogs++
	return d
}

// freeDialog releases the call number of a dialog. The allocator assigns it again only after all others.
func (ep *Endpoint) freeDialog(d *Dialog) {
	if ep.dialogs[d.local] != d {
		return
	}
	ep.timerQueue.Stop(&d.timer)
	ep.dialogs[d.local] = nil
	ep.openDialogs--
	if ep.byPeer[peerKey{d.peer, d.remote}] == d {
		delete(ep.byPeer, peerKey{d.peer, d.remote})
	}
	if d.hostCounted {
		d.hostCounted = false
		if ep.dialogsByHost[d.peer.IP]--; ep.dialogsByHost[d.peer.IP] <= 0 {
			delete(ep.dialogsByHost, d.peer.IP)
		}
	}
	d.dropUnacked(len(d.unacked))
}

// Advance performs what is due by now: retransmissions, delayed ACKs, PINGs and time-outs.
func (ep *Endpoint) Advance(now time.Duration) {
	for e := ep.timerQueue.Due(now); e != nil; e = ep.timerQueue.Due(now) {
		e.Value.onTimer(now)
	}
	ep.sweepRegistrations(now)
	ep.Flush(now)
}

// Flush sends the ACKs whose AckDelay has passed without a frame that carried them. It is called after each batch
// of received datagrams, and by Advance.
func (ep *Endpoint) Flush(now time.Duration) {
	i := 0
	for ; i < len(ep.pendingAcks) && (!ep.pendingAcks[i].ackPending || ep.pendingAcks[i].ackDue <= now); i++ {
		d := ep.pendingAcks[i]
		d.ackQueued = false
		if d.ackPending {
			d.sendAck()
		}
	}
	ep.pendingAcks = append(ep.pendingAcks[:0], ep.pendingAcks[i:]...)
}

// callNumberAllocator assigns call numbers in rotation, so that a freed number is reused as late as possible.
type callNumberAllocator struct{ last uint16 }

func (a *callNumberAllocator) next(used func(uint16) bool) uint16 {
	for {
		a.last++
		if a.last > MaxCallNumber || a.last <= placeholderCallNumber {
			a.last = placeholderCallNumber + 1
		}
		if !used(a.last) {
			return a.last
		}
	}
}
