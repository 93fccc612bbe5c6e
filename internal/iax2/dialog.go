package iax2

import (
	"crypto/md5"
	"encoding/hex"
	"time"

	"pipitring/internal/timers"
)

// state of a dialog.
type state uint8

const (
	calling    state = iota // we sent NEW
	challenged              // we sent AUTHREQ or REGAUTH
	offered                 // the user knows of the call and has not accepted it
	accepted
	up
	registering // we sent REGREQ or REGREL
	releasing   // we sent HANGUP or REJECT and wait for its ACK
	closed      // only the call number is still taken
)

// tokenRounds bounds how often a peer may ask for another call token.
const tokenRounds = 3

// sendWindow bounds the frames of one dialog that wait for an ACK: a half of the sequence numbers at most can
// be told apart (7).
const sendWindow = 100

// Dialog is one call (or registration) between this endpoint and a peer.
type Dialog struct {
	Ref uint64 // the user's own

	ep            *Endpoint
	local, remote uint16
	peer          Addr
	incoming      bool
	known         bool // the user holds it: owes a Closed
	counted       bool // against MaxPerHost
	state         state
	oseq, iseq    uint8
	started       time.Duration
	stamp         uint32 // of the last frame sent
	opening       uint64 // fingerprint of the peer's opening frame
	unacked       []*sent
	timer         timers.Entry[*Dialog]
	ackOwed       bool
	ackListed     bool
	ackStamp      uint32
	ackDue        time.Duration
	acceptAt      time.Duration // by itself; 0 is not set
	giveUpAt      time.Duration // waiting for a challenge's answer, or lingering
	pingAt        time.Duration
	tokens        int           // rounds
	askedAt       time.Duration // for frames before the first; 0 is never
	challenge     string
	request       Request
	format        uint32
	other         *Dialog // media goes there
	quelched      bool    // the peer wants no media
	reg           *registerAsk
}

// sent is a frame that waits for its ACK.
type sent struct {
	buf    []byte
	oseq   uint8
	opens  bool // NEW, REGREQ: not repeated once the dialog is being released
	tries  int
	gap    time.Duration
	nextAt time.Duration
}

// Peer is the address of the far end.
func (d *Dialog) Peer() Addr { return d.peer }

// Number is the local call number.
func (d *Dialog) Number() uint16 { return d.local }

// Incoming tells which end opened the dialog.
func (d *Dialog) Incoming() bool { return d.incoming }

// Request is what NEW said.
func (d *Dialog) Request() Request { return d.request }

// Ended tells that nothing more can be said on the dialog.
func (d *Dialog) Ended() bool { return d.state >= releasing }

func (d *Dialog) learnRemote(n uint16) {
	d.remote = n
	d.ep.byPeer[peerKey{d.peer, n}] = d
}

// open sets up an incoming dialog from its first frame.
func (d *Dialog) open(now time.Duration, f *Frame, fingerprint uint64) {
	d.incoming, d.opening = true, fingerprint
	d.learnRemote(f.Source)
	d.iseq = f.OSeq + 1
	d.acked(f.ISeq)
	if !d.ep.cfg.Trusted(d.peer) {
		d.counted = true
		d.ep.hosts[d.peer.IP]++
	}
}

func (d *Dialog) emit(e Event) {
	if !d.known {
		return
	}
	e.Dialog = d
	d.ep.Events = append(d.ep.Events, e)
}

// offer hands an incoming call to the user.
func (d *Dialog) offer(now time.Duration) {
	d.state, d.known = offered, true
	if d.ep.cfg.AcceptDelay == 0 {
		d.accept(now)
	} else {
		d.acceptAt = now + d.ep.cfg.AcceptDelay
		d.schedule()
	}
	d.emit(Event{Kind: Offered, Request: d.request, From: d.peer})
}

func (d *Dialog) accept(now time.Duration) {
	if d.state != offered {
		return
	}
	d.state, d.acceptAt = accepted, 0
	d.sendIAX(now, Accept, AppendUint(d.ep.ies[:0], Format, d.format))
}

// challengeCall asks the caller to prove who it is. Unknown users are challenged as well, so that names can't
// be guessed.
func (d *Dialog) challengeCall(now time.Duration) {
	d.state, d.challenge = challenged, challengeText(d.ep.cfg.Random())
	d.giveUpAt = now + d.ep.cfg.AuthTimeout
	ies := AppendUint(d.ep.ies[:0], AuthMethods, authMD5)
	ies = AppendText(ies, Challenge, d.challenge)
	d.sendIAX(now, AuthReq, AppendText(ies, Username, d.request.User))
}

// proven checks the answer to a challenge (8.6.15).
func (d *Dialog) proven(user string) bool {
	if d.ep.cfg.Secret == nil {
		return false
	}
	secret, ok := d.ep.cfg.Secret(user)
	return ok && string(d.ep.elems.Bytes(MD5Result)) == md5Answer(d.challenge, secret)
}

func md5Answer(challenge, secret string) string {
	sum := md5.Sum([]byte(challenge + secret))
	return hex.EncodeToString(sum[:])
}

// Ringing tells the caller that the far end rings.
func (d *Dialog) Ringing(now time.Duration) { d.control(now, ControlRinging) }

// Proceeding tells the caller that the call is being set up.
func (d *Dialog) Proceeding(now time.Duration) { d.control(now, ControlProceeding) }

// Accept takes an offered call before its AcceptDelay is over.
func (d *Dialog) Accept(now time.Duration) { d.accept(now) }

// Answer makes an offered call stand.
func (d *Dialog) Answer(now time.Duration) {
	if d.state != offered && d.state != accepted || !d.incoming {
		return
	}
	d.accept(now)
	d.sendFull(now, FrameControl, ControlAnswer, nil, false)
	d.stand(now)
}

func (d *Dialog) stand(now time.Duration) {
	d.state = up
	if d.ep.cfg.PingInterval > 0 {
		d.pingAt = now + d.ep.cfg.PingInterval
		d.schedule()
	}
}

func (d *Dialog) control(now time.Duration, subclass uint32) {
	if d.state == offered || d.state == accepted {
		d.accept(now)
		d.sendFull(now, FrameControl, subclass, nil, false)
	}
}

// Release ends the dialog with a Q.850 cause: by REJECT if it was never accepted, else by HANGUP. Closed
// follows when the peer has confirmed it or is held to be gone.
func (d *Dialog) Release(now time.Duration, cause uint8, text string) {
	if d.state >= releasing {
		return
	}
	subclass := uint32(Hangup)
	if d.state == offered || d.state == challenged {
		subclass = Reject
	}
	// An opening frame that nobody answered must not reach the peer after this.
	for i := 0; i < len(d.unacked); i++ {
		if d.unacked[i].opens {
			d.recycle(d.unacked[i])
			d.unacked = append(d.unacked[:i], d.unacked[i+1:]...)
			i--
		}
	}
	d.state, d.acceptAt, d.pingAt, d.giveUpAt = releasing, 0, 0, 0
	d.unbridge()
	ies := d.ep.ies[:0]
	if text != "" {
		ies = AppendText(ies, CauseText, text)
	}
	d.sendIAX(now, subclass, AppendUint(ies, CauseCode, uint32(cause)))
}

// Bridge relays media between two dialogs from now on.
func (d *Dialog) Bridge(other *Dialog) { d.other, other.other = other, d }

func (d *Dialog) unbridge() {
	if d.other != nil {
		d.other.other, d.other = nil, nil
	}
}

// close ends the dialog's life; its call number stays taken while late frames may come.
func (d *Dialog) close(now time.Duration) {
	if d.state == closed {
		return
	}
	d.state, d.acceptAt, d.pingAt = closed, 0, 0
	d.unbridge()
	d.drop(len(d.unacked))
	d.giveUpAt = now + d.ep.cfg.Linger
	d.schedule()
	d.emit(Event{Kind: Closed})
}

// lose ends a dialog whose peer is gone or knows nothing of it.
func (d *Dialog) lose(now time.Duration, why Reason) {
	if d.state == closed {
		return
	}
	if d.state == registering {
		d.registered(now, 0, CauseNoAnswer)
	} else if d.state != releasing {
		d.emit(Event{Kind: Lost, Reason: why})
	}
	d.close(now)
}

// ---- Receiving.

func (d *Dialog) receive(now time.Duration, f *Frame) {
	if f.Is(Inval) {
		d.lose(now, Invalid)
		return
	}
	if f.Is(CallToken) {
		d.receiveToken(now, f)
		return
	}
	d.acked(f.ISeq)
	switch {
	case f.Is(Ack):
		d.afterAck(now)
		return
	case f.Is(VNAK):
		d.repeatAll(now)
		return
	}
	ahead := int8(f.OSeq - d.iseq)
	switch {
	case ahead < 0:
		d.ep.Stats.Duplicates++
		d.ackStamp = f.Timestamp
		d.sendAck()
		d.afterAck(now)
		return
	case ahead > 0:
		d.ep.Stats.Gaps++
		d.sendFlat(f.Timestamp, VNAK)
		return
	}
	d.iseq++
	d.oweAck(now, f.Timestamp)
	if d.state == closed {
		if f.Is(Hangup) || f.Is(Reject) {
			d.sendAck()
		} else {
			d.ackOwed = false
			d.sendFlat(f.Timestamp, Inval)
		}
		return
	}
	d.handle(now, f)
	d.afterAck(now)
}

// afterAck closes a dialog whose release has been confirmed.
func (d *Dialog) afterAck(now time.Duration) {
	if d.state == releasing && len(d.unacked) == 0 {
		if d.ackOwed {
			d.sendAck()
		}
		d.close(now)
	}
}

func (d *Dialog) handle(now time.Duration, f *Frame) {
	switch f.Type {
	case FrameIAX:
		d.handleIAX(now, f)
	case FrameControl:
		d.handleControl(now, f)
	case FrameNull:
	default:
		d.relayFull(now, f)
	}
}

func (d *Dialog) handleIAX(now time.Duration, f *Frame) {
	e := &d.ep.elems
	switch f.Subclass {
	case Accept:
		if d.state == calling {
			d.state, d.format = accepted, e.Uint(Format)
			d.emit(Event{Kind: Accepted})
		}
	case Hangup, Reject:
		d.receiveRelease(now, uint8(e.Uint(CauseCode)))
	case AuthReq:
		d.answerChallenge(now)
	case AuthRep:
		d.receiveProof(now)
	case RegReq, RegRel:
		d.receiveRegisterProof(now, f)
	case RegAuth, RegAck, RegRej:
		d.receiveRegisterAnswer(now, f)
	case Ping:
		d.sendStamped(now, Pong, f.Timestamp)
	case LagRq:
		d.sendStamped(now, LagRp, f.Timestamp)
	case Pong, LagRp, Unsupport, New, TxRej, MWI, TxCnt, TxAcc, TxReady, TxRel, Transfer, DPRep:
	case Quelch, Unquelch:
		d.quelched = f.Subclass == Quelch
	case DPReq:
		d.answerDPReq(now)
	case TxReq:
		d.sendIAX(now, TxRej, nil) // calls stay on their path: media follows signalling
	case Poke:
		d.sendStamped(now, Pong, f.Timestamp)
	default:
		d.ep.Stats.Unsupported++
		d.sendIAX(now, Unsupport, AppendUint(d.ep.ies[:0], IAXUnknown, f.Subclass))
	}
}

func (d *Dialog) handleControl(now time.Duration, f *Frame) {
	switch f.Subclass {
	case ControlRinging, ControlProceeding, ControlProgress:
		if !d.incoming && (d.state == calling || d.state == accepted) {
			d.emit(Event{Kind: Progress})
		}
	case ControlAnswer:
		if !d.incoming && (d.state == calling || d.state == accepted) {
			d.stand(now)
			d.emit(Event{Kind: Answered})
		}
	case ControlBusy, ControlCongestion, ControlHangup:
		if d.state < releasing {
			cause := map[uint32]uint8{ControlBusy: CauseBusy, ControlCongestion: CauseNoCircuit,
				ControlHangup: CauseNormal}[f.Subclass]
			d.emit(Event{Kind: Released, Cause: cause})
			d.Release(now, CauseNormal, "")
		}
	default:
		d.relayFull(now, f)
	}
}

// receiveRelease takes the peer's HANGUP or REJECT, also one that crosses ours.
func (d *Dialog) receiveRelease(now time.Duration, cause uint8) {
	d.sendAck()
	if d.state == registering {
		d.registered(now, 0, cause)
	} else if d.state < releasing {
		d.emit(Event{Kind: Released, Cause: cause})
	}
	d.close(now)
}

func (d *Dialog) answerChallenge(now time.Duration) {
	if d.state != calling {
		return
	}
	if d.ep.elems.Uint(AuthMethods)&authMD5 == 0 || d.request.Secret == "" {
		d.emit(Event{Kind: Released, Cause: CauseNotSubscribed})
		d.Release(now, CauseNotSubscribed, "no way to prove the user")
		return
	}
	answer := md5Answer(d.ep.elems.Text(Challenge), d.request.Secret)
	d.sendIAX(now, AuthRep, AppendText(d.ep.ies[:0], MD5Result, answer))
}

func (d *Dialog) receiveProof(now time.Duration) {
	if d.state != challenged || d.reg != nil {
		return
	}
	d.giveUpAt = 0
	if !d.proven(d.request.User) {
		d.ep.Stats.Rejected++
		d.Release(now, CauseNotSubscribed, "not authorised")
		return
	}
	d.offer(now)
}

func (d *Dialog) answerDPReq(now time.Duration) {
	number := d.ep.elems.Text(CalledNumber)
	status := uint32(dpStatusUnknown)
	if d.ep.cfg.Exists(number) {
		status = dpStatusExists
	}
	ies := AppendText(d.ep.ies[:0], CalledNumber, number)
	ies = AppendUint(ies, DPStatus, status)
	d.sendIAX(now, DPRep, AppendUint(ies, Refresh, uint32(d.ep.cfg.MaxRefresh/time.Second)))
}

// relayMini passes a media frame on under the other dialog's call number.
func (d *Dialog) relayMini(now time.Duration, b []byte) {
	o := d.other
	if d.state != up || o == nil || o.state != up || o.quelched {
		return
	}
	ep := d.ep
	ep.Stats.Relayed++
	ep.scratch = append(ep.scratch[:0], b...)
	ep.scratch[0], ep.scratch[1] = byte(o.local>>8), byte(o.local)
	ep.send(o.peer, ep.scratch)
}

// relayFull passes a full media frame on with its own timestamp, which the mini frames after it go by.
func (d *Dialog) relayFull(now time.Duration, f *Frame) {
	o := d.other
	if d.state != up || o == nil || o.state != up || o.quelched || len(o.unacked) >= sendWindow {
		return
	}
	d.ep.Stats.Relayed++
	o.transmit(now, &Frame{Type: f.Type, Subclass: f.Subclass, Timestamp: f.Timestamp, Payload: f.Payload}, false)
}

// ---- Sending.

// sendNew sends the opening frame; token is nil before the peer asked for one.
func (d *Dialog) sendNew(now time.Duration, token []byte) {
	r := &d.request
	ies := AppendUint(d.ep.ies[:0], Version, protocolVersion)
	for _, t := range [...]struct {
		code Element
		text string
	}{{CalledNumber, r.Called}, {CallingNumber, r.Calling}, {CallingName, r.CallingName},
		{CalledContext, r.Context}, {Username, r.User}, {RDNIS, r.Redirecting}} {
		if t.text != "" {
			ies = AppendText(ies, t.code, t.text)
		}
	}
	formats := d.ep.cfg.Formats
	wanted := r.Format
	if wanted == 0 {
		wanted = formats & -formats
	}
	ies = AppendUint(ies, Format, wanted)
	ies = AppendUint(ies, Capability, formats)
	ies = AppendText(ies, CallTokenIE, token)
	d.known = true
	d.sendFull(now, FrameIAX, New, ies, true)
}

// receiveToken answers a request for a call token: the dialog opens once more, with it. A request that answers
// an older opening frame than the last is a repeat: to open again on it would be a second call there.
func (d *Dialog) receiveToken(now time.Duration, f *Frame) {
	if d.state != calling && d.state != registering || d.remote != 0 || d.tokens >= tokenRounds ||
		!d.ep.elems.Has(CallTokenIE) || f.Timestamp != d.stamp {
		return
	}
	d.tokens++
	d.drop(len(d.unacked))
	d.oseq, d.iseq = 0, 0
	token := append([]byte(nil), d.ep.elems.Bytes(CallTokenIE)...)
	if d.state == registering {
		d.sendRegister(now, token)
	} else {
		d.sendNew(now, token)
	}
}

// timestamp is the dialog's time in milliseconds, later than that of every frame before.
func (d *Dialog) timestamp(now time.Duration) uint32 {
	d.stamp = max(uint32((now-d.started)/time.Millisecond), d.stamp+1)
	return d.stamp
}

func (d *Dialog) sendIAX(now time.Duration, subclass uint32, ies []byte) {
	d.sendFull(now, FrameIAX, subclass, ies, false)
}

func (d *Dialog) sendFull(now time.Duration, t FrameType, subclass uint32, payload []byte, opens bool) {
	d.transmit(now, &Frame{Type: t, Subclass: subclass, Timestamp: d.timestamp(now), Payload: payload}, opens)
}

// sendStamped answers a frame under the timestamp that came with it (6.7.2, 6.7.4).
func (d *Dialog) sendStamped(now time.Duration, subclass, stamp uint32) {
	d.transmit(now, &Frame{Type: FrameIAX, Subclass: subclass, Timestamp: stamp}, false)
}

// transmit sends a full frame and keeps it until it is acknowledged. It carries the ACK that is owed.
func (d *Dialog) transmit(now time.Duration, f *Frame, opens bool) {
	f.Source, f.Dest, f.OSeq, f.ISeq = d.local, d.remote, d.oseq, d.iseq
	s := d.ep.spare()
	s.buf = AppendFull(s.buf[:0], f)
	s.oseq, s.opens, s.tries, s.gap = d.oseq, opens, 0, d.ep.cfg.RetransmitInterval
	s.nextAt = now + s.gap
	d.oseq++
	d.ackOwed = false
	d.unacked = append(d.unacked, s)
	d.ep.send(d.peer, s.buf)
	if len(d.unacked) == 1 {
		d.schedule()
	}
}

// sendFlat sends a frame that is not numbered itself: ACK, VNAK, INVAL (7).
func (d *Dialog) sendFlat(stamp, subclass uint32) {
	d.ep.sendRaw(d.peer, &Frame{Source: d.local, Dest: d.remote, Timestamp: stamp, OSeq: d.oseq, ISeq: d.iseq,
		Type: FrameIAX, Subclass: subclass})
}

func (d *Dialog) sendAck() {
	d.ackOwed = false
	if d.remote != 0 {
		d.sendFlat(d.ackStamp, Ack)
		return
	}
	d.ep.sendRaw(d.peer, &Frame{Source: d.local, Dest: placeholder, Timestamp: d.ackStamp, OSeq: d.oseq,
		ISeq: d.iseq, Type: FrameIAX, Subclass: Ack})
}

func (d *Dialog) oweAck(now time.Duration, stamp uint32) {
	d.ackStamp = stamp
	if !d.ackOwed {
		d.ackOwed, d.ackDue = true, now+d.ep.cfg.AckDelay
	}
	d.listAck()
}

func (d *Dialog) listAck() {
	if !d.ackListed {
		d.ackListed = true
		d.ep.acks = append(d.ep.acks, d)
	}
}

// ---- Acknowledgement and time.

// acked takes off the frames that the peer has, by its next expected number.
func (d *Dialog) acked(iseq uint8) {
	n := 0
	for n < len(d.unacked) && int8(d.unacked[n].oseq-iseq) < 0 {
		n++
	}
	if n > 0 {
		d.drop(n)
	}
}

// drop takes the oldest n frames off.
func (d *Dialog) drop(n int) {
	if n == 0 {
		return
	}
	for _, s := range d.unacked[:n] {
		d.recycle(s)
	}
	d.unacked = append(d.unacked[:0], d.unacked[n:]...)
	if d.ep.dialogs[d.local] == d {
		d.schedule()
	}
}

func (d *Dialog) recycle(s *sent) { d.ep.frames = append(d.ep.frames, s) }

func (ep *Endpoint) spare() *sent {
	if n := len(ep.frames); n > 0 {
		s := ep.frames[n-1]
		ep.frames = ep.frames[:n-1]
		return s
	}
	return &sent{}
}

// repeat sends a frame again. What it says of the peer's frames is brought up to date.
func (d *Dialog) repeat(s *sent) {
	d.ep.Stats.Repeats++
	s.buf[2] = byte(d.remote>>8) | 0x80
	s.buf[3] = byte(d.remote)
	s.buf[9] = d.iseq
	d.ackOwed = false
	d.ep.send(d.peer, s.buf)
}

// repeatAll answers a VNAK: the peer lacks what it has not acknowledged.
func (d *Dialog) repeatAll(now time.Duration) {
	for _, s := range d.unacked {
		d.repeat(s)
		s.nextAt = now + s.gap
	}
	d.schedule()
}

// schedule sets the timer to the earliest thing to do.
func (d *Dialog) schedule() {
	at := time.Duration(-1)
	sooner := func(t time.Duration) {
		if t != 0 && (at < 0 || t < at) {
			at = t
		}
	}
	sooner(d.acceptAt)
	sooner(d.giveUpAt)
	sooner(d.pingAt)
	for _, s := range d.unacked {
		sooner(s.nextAt)
	}
	switch {
	case at < 0:
		d.ep.queue.Stop(&d.timer)
	case !d.timer.Running() || d.timer.At() != at:
		d.ep.queue.Set(&d.timer, at)
	}
}

// due does what the timer was set for.
func (d *Dialog) due(now time.Duration) {
	if d.giveUpAt != 0 && d.giveUpAt <= now {
		if d.state == closed {
			d.ep.free(d)
			return
		}
		d.giveUpAt = 0
		d.Release(now, CauseTimer, "no answer to the challenge")
	}
	if d.acceptAt != 0 && d.acceptAt <= now {
		d.accept(now)
	}
	if d.pingAt != 0 && d.pingAt <= now {
		d.pingAt = now + d.ep.cfg.PingInterval
		if d.state == up {
			d.sendIAX(now, Ping, nil)
		}
	}
	for _, s := range d.unacked {
		if s.nextAt > now {
			continue
		}
		if s.tries >= d.ep.cfg.MaxRetransmits {
			d.lose(now, NoReply)
			return
		}
		s.tries++
		s.gap = min(2*s.gap, d.ep.cfg.MaxRetransmitInterval)
		s.nextAt = now + s.gap
		d.repeat(s)
	}
	d.schedule()
}
