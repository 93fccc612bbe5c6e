package iax2

import (
	"crypto/md5"
	"encoding/hex"
	"time"

	"pipitring/internal/timers"
)

// state is the state of a dialog.
type state uint8

const (
	calling     state = iota // NEW sent
	challenged               // AUTHREQ or REGAUTH sent
	offered                  // reported by Offered and not yet accepted
	accepted                 // ACCEPT sent or received
	answered                 // ANSWER sent or received
	registering              // REGREQ or REGREL sent
	releasing                // HANGUP, REJECT or the last frame of a registration sent, waiting for its ACK
	closed                   // ended; only the call number is still reserved
)

// maxTokenRequests is how often a peer may request another call token for one dialog.
const maxTokenRequests = 3

// sendWindow is the number of unacknowledged frames from which a dialog gets no further full media frames. Fewer
// than half of the 256 sequence numbers may be outstanding, or old and new ones cannot be told apart (7).
const sendWindow = 100

// Dialog is one call or registration between this endpoint and a peer.
type Dialog struct {
	// Ref is free for the application; this package does not read it.
	Ref uint64

	ep                 *Endpoint
	local, remote      uint16
	peer               Addr
	incoming           bool
	reportEvents       bool // the application knows the call and gets its events, Closed as the last
	hostCounted        bool // counts towards MaxPerHost
	state              state
	oseq, iseq         uint8
	started            time.Duration
	lastTimestamp      uint32 // timestamp of the last frame sent, in milliseconds
	openingFingerprint uint64 // fingerprint of the opening frame of an incoming dialog
	unacked            []*sentFrame
	timer              timers.Entry[*Dialog]
	ackPending         bool          // an ACK is due to the peer
	ackQueued          bool          // listed in Endpoint.pendingAcks
	ackTimestamp       uint32        // timestamp of the frame to acknowledge
	ackDue             time.Duration // when the ACK is sent on its own
	acceptAt           time.Duration // when the call is accepted automatically; 0 if not set
	expiresAt          time.Duration // end of the wait for a challenge's answer, or of the linger time; 0 if not set
	pingAt             time.Duration
	tokenRequests      int           // number of CALLTOKEN requests answered
	vnakSentAt         time.Duration // when VNAK last requested frames before the first one received; 0 if never
	challenge          string
	request            Request
	format             uint32
	bridged            *Dialog             // dialog to which media is relayed; nil if none
	quelched           bool                // the peer has asked for no media (QUELCH)
	registration       *registrationDialog // nil for a call
}

// sentFrame is a full frame waiting for its ACK.
type sentFrame struct {
	buf          []byte
	oseq         uint8
	isOpening    bool // NEW, REGREQ or REGREL: discarded once the dialog is being released
	retransmits  int
	interval     time.Duration
	retransmitAt time.Duration
}

// Peer returns the address of the far end.
func (d *Dialog) Peer() Addr { return d.peer }

// CallNumber returns the local call number.
func (d *Dialog) CallNumber() uint16 { return d.local }

// Incoming reports whether the peer opened the dialog.
func (d *Dialog) Incoming() bool { return d.incoming }

// Request returns what the NEW of the call stated; it is empty for a registration.
func (d *Dialog) Request() Request { return d.request }

// Ended reports whether the dialog is being released or is closed, so that nothing more can be sent on it.
func (d *Dialog) Ended() bool { return d.state >= releasing }

func (d *Dialog) setRemote(n uint16) {
	d.remote = n
	d.ep.byPeer[peerKey{d.peer, n}] = d
}

// openIncoming initialises an incoming dialog from its first frame.
func (d *Dialog) openIncoming(now time.Duration, f *Frame, fingerprint uint64) {
	d.incoming, d.openingFingerprint = true, fingerprint
	d.setRemote(f.Source)
	d.iseq = f.OSeq + 1
	d.acknowledge(f.ISeq)
	if !d.ep.cfg.Trusted(d.peer) {
		d.hostCounted = true
		d.ep.dialogsByHost[d.peer.IP]++
	}
}

func (d *Dialog) emit(e Event) {
	if !d.reportEvents {
		return
	}
	e.Dialog = d
	d.ep.Events = append(d.ep.Events, e)
}

// offer reports an incoming call to the application. Without AcceptDelay it is accepted at once.
func (d *Dialog) offer(now time.Duration) {
	d.state, d.reportEvents = offered, true
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

// challengeCall asks the caller to authenticate. Unknown users are challenged as well, so that user names
// cannot be found out by trying them.
func (d *Dialog) challengeCall(now time.Duration) {
	d.state, d.challenge = challenged, challengeText(d.ep.cfg.Random())
	d.expiresAt = now + d.ep.cfg.AuthTimeout
	ies := AppendUint(d.ep.ies[:0], AuthMethods, authMD5)
	ies = AppendText(ies, Challenge, d.challenge)
	d.sendIAX(now, AuthReq, AppendText(ies, Username, d.request.User))
}

// responseMatches reports whether the MD5 result received is the one for the challenge sent and the user's
// secret (8.6.15).
func (d *Dialog) responseMatches(user string) bool {
	if d.ep.cfg.Secret == nil {
		return false
	}
	secret, ok := d.ep.cfg.Secret(user)
	return ok && string(d.ep.elements.Bytes(MD5Result)) == md5Response(d.challenge, secret)
}

func md5Response(challenge, secret string) string {
	sum := md5.Sum([]byte(challenge + secret))
	return hex.EncodeToString(sum[:])
}

// Ringing notifies the caller that the called end is ringing. It accepts the call if that has not been done.
func (d *Dialog) Ringing(now time.Duration) { d.sendControl(now, ControlRinging) }

// Proceeding notifies the caller that the call is being set up. It accepts the call if that has not been done.
func (d *Dialog) Proceeding(now time.Duration) { d.sendControl(now, ControlProceeding) }

// Accept accepts an offered call before its AcceptDelay has passed.
func (d *Dialog) Accept(now time.Duration) { d.accept(now) }

// Answer answers an offered or accepted incoming call.
func (d *Dialog) Answer(now time.Duration) {
	if d.state != offered && d.state != accepted || !d.incoming {
		return
	}
	d.accept(now)
	d.sendFull(now, FrameControl, ControlAnswer, nil, false)
	d.enterAnswered(now)
}

func (d *Dialog) enterAnswered(now time.Duration) {
	d.state = answered
	if d.ep.cfg.PingInterval > 0 {
		d.pingAt = now + d.ep.cfg.PingInterval
		d.schedule()
	}
}

func (d *Dialog) sendControl(now time.Duration, subclass uint32) {
	if d.state == offered || d.state == accepted {
		d.accept(now)
		d.sendFull(now, FrameControl, subclass, nil, false)
	}
}

// Release ends the dialog with a Q.850 cause: by REJECT if the call was never accepted, otherwise by HANGUP.
// Closed follows when the peer has acknowledged it or is unreachable.
func (d *Dialog) Release(now time.Duration, cause uint8, text string) {
	if d.state >= releasing {
		return
	}
	subclass := uint32(Hangup)
	if d.state == offered || d.state == challenged {
		subclass = Reject
	}
	// An unacknowledged opening frame must not be retransmitted: it could reach the peer after the release.
	for i := 0; i < len(d.unacked); i++ {
		if d.unacked[i].isOpening {
			d.recycle(d.unacked[i])
			d.unacked = append(d.unacked[:i], d.unacked[i+1:]...)
			i--
		}
	}
	d.state, d.acceptAt, d.pingAt, d.expiresAt = releasing, 0, 0, 0
	d.unbridge()
	ies := d.ep.ies[:0]
	if text != "" {
		ies = AppendText(ies, CauseText, text)
	}
	d.sendIAX(now, subclass, AppendUint(ies, CauseCode, uint32(cause)))
}

// Bridge relays media between the two dialogs from now on.
func (d *Dialog) Bridge(other *Dialog) { d.bridged, other.bridged = other, d }

func (d *Dialog) unbridge() {
	if d.bridged != nil {
		d.bridged.bridged, d.bridged = nil, nil
	}
}

// close ends the dialog. Its call number stays reserved for the linger time, as late frames may still arrive.
func (d *Dialog) close(now time.Duration) {
	if d.state == closed {
		return
	}
	d.state, d.acceptAt, d.pingAt = closed, 0, 0
	d.unbridge()
	d.dropUnacked(len(d.unacked))
	d.expiresAt = now + d.ep.cfg.Linger
	d.schedule()
	d.emit(Event{Kind: Closed})
}

// markLost ends a dialog whose peer is unreachable or does not know it. A registration of ours is reported as
// rejected.
func (d *Dialog) markLost(now time.Duration, reason Reason) {
	if d.state == closed {
		return
	}
	if d.state == registering {
		d.reportRegistration(now, 0, CauseNoAnswer)
	} else if d.state != releasing {
		d.emit(Event{Kind: Lost, Reason: reason})
	}
	d.close(now)
}

// Receiving frames.

func (d *Dialog) receive(now time.Duration, f *Frame) {
	if f.Is(Inval) {
		d.markLost(now, Invalid)
		return
	}
	if f.Is(CallToken) {
		d.receiveCallToken(now, f)
		return
	}
	d.acknowledge(f.ISeq)
	switch {
	case f.Is(Ack):
		d.closeIfReleased(now)
		return
	case f.Is(VNAK):
		d.retransmitAll(now)
		return
	}
	ahead := int8(f.OSeq - d.iseq)
	switch {
	case d.state == closed && ahead >= 0 && !f.Is(Hangup) && !f.Is(Reject):
		// The frame is not counted as received: the INVAL may be lost, and an ACK of the retransmission would leave the peer
		// with a call that has ended.
		d.sendUnnumbered(f.Timestamp, Inval)
		return
	case ahead < 0:
		d.ep.Stats.Duplicates++
		d.ackTimestamp = f.Timestamp
		d.sendAck()
		d.closeIfReleased(now)
		return
	case ahead > 0:
		d.ep.Stats.Gaps++
		d.sendUnnumbered(f.Timestamp, VNAK)
		return
	}
	d.iseq++
	d.deferAck(now, f.Timestamp)
	if d.state == closed { // a release that crosses the end
		d.sendAck()
		return
	}
	d.handle(now, f)
	d.closeIfReleased(now)
}

// closeIfReleased closes a dialog whose release has been acknowledged.
func (d *Dialog) closeIfReleased(now time.Duration) {
	if d.state == releasing && len(d.unacked) == 0 {
		if d.ackPending {
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
	e := &d.ep.elements
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
		d.receiveAuthReply(now)
	case RegReq, RegRel:
		d.verifyRegistrant(now, f)
	case RegAuth, RegAck, RegRej:
		d.receiveRegistrarReply(now, f)
	case Ping:
		d.sendWithTimestamp(now, Pong, f.Timestamp)
	case LagRq:
		d.sendWithTimestamp(now, LagRp, f.Timestamp)
	case Pong, LagRp, Unsupport, New, TxRej, MWI, TxCnt, TxAcc, TxReady, TxRel, Transfer, DPRep:
	case Quelch, Unquelch:
		d.quelched = f.Subclass == Quelch
	case DPReq:
		d.answerDPReq(now)
	case TxReq:
		d.sendIAX(now, TxRej, nil) // transfers are always rejected: media follows the signalling path
	case Poke:
		d.sendWithTimestamp(now, Pong, f.Timestamp)
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
			d.enterAnswered(now)
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

// receiveRelease handles HANGUP or REJECT of the peer, including one that crosses our own.
func (d *Dialog) receiveRelease(now time.Duration, cause uint8) {
	d.sendAck()
	if d.state == registering {
		d.reportRegistration(now, 0, cause)
	} else if d.state < releasing {
		d.emit(Event{Kind: Released, Cause: cause})
	}
	d.close(now)
}

func (d *Dialog) answerChallenge(now time.Duration) {
	if d.state != calling {
		return
	}
	if d.ep.elements.Uint(AuthMethods)&authMD5 == 0 || d.request.Secret == "" {
		d.emit(Event{Kind: Released, Cause: CauseNotSubscribed})
		d.Release(now, CauseNotSubscribed, "no way to prove the user")
		return
	}
	response := md5Response(d.ep.elements.Text(Challenge), d.request.Secret)
	d.sendIAX(now, AuthRep, AppendText(d.ep.ies[:0], MD5Result, response))
}

func (d *Dialog) receiveAuthReply(now time.Duration) {
	if d.state != challenged || d.registration != nil {
		return
	}
	d.expiresAt = 0
	if !d.responseMatches(d.request.User) {
		d.ep.Stats.Rejected++
		d.Release(now, CauseNotSubscribed, "not authorised")
		return
	}
	d.offer(now)
}

func (d *Dialog) answerDPReq(now time.Duration) {
	number := d.ep.elements.Text(CalledNumber)
	status := uint32(dpStatusUnknown)
	if d.ep.cfg.NumberExists(number) {
		status = dpStatusExists
	}
	ies := AppendText(d.ep.ies[:0], CalledNumber, number)
	ies = AppendUint(ies, DPStatus, status)
	d.sendIAX(now, DPRep, AppendUint(ies, Refresh, uint32(d.ep.cfg.MaxRefresh/time.Second)))
}

// relayMini relays the datagram of a mini frame to the bridged dialog, under that dialog's call number.
func (d *Dialog) relayMini(now time.Duration, b []byte) {
	other := d.bridged
	if d.state != answered || other == nil || other.state != answered || other.quelched {
		return
	}
	ep := d.ep
	ep.Stats.Relayed++
	ep.scratch = append(ep.scratch[:0], b...)
	ep.scratch[0], ep.scratch[1] = byte(other.local>>8), byte(other.local)
	ep.send(other.peer, ep.scratch)
}

// relayFull relays a full media frame with its original timestamp, since the mini frames after it continue from
// that timestamp.
func (d *Dialog) relayFull(now time.Duration, f *Frame) {
	other := d.bridged
	if d.state != answered || other == nil || other.state != answered || other.quelched || len(other.unacked) >= sendWindow {
		return
	}
	d.ep.Stats.Relayed++
	other.transmit(now, &Frame{Type: f.Type, Subclass: f.Subclass, Timestamp: f.Timestamp, Payload: f.Payload}, false)
}

// Sending frames.

// sendNew sends the opening frame of a call; token is nil until the peer has requested one.
func (d *Dialog) sendNew(now time.Duration, token []byte) {
	r := &d.request
	ies := AppendUint(d.ep.ies[:0], Version, protocolVersion)
	for _, ie := range [...]struct {
		code Element
		text string
	}{{CalledNumber, r.Called}, {CallingNumber, r.Calling}, {CallingName, r.CallingName},
		{CalledContext, r.Context}, {Username, r.User}, {RDNIS, r.Redirecting}} {
		if ie.text != "" {
			ies = AppendText(ies, ie.code, ie.text)
		}
	}
	formats := d.ep.cfg.Formats
	requested := r.Format
	if requested == 0 {
		requested = formats & -formats
	}
	ies = AppendUint(ies, Format, requested)
	ies = AppendUint(ies, Capability, formats)
	ies = AppendText(ies, CallTokenIE, token)
	d.reportEvents = true
	d.sendFull(now, FrameIAX, New, ies, true)
}

// receiveCallToken answers a request for a call token by sending the opening frame again with the token. A
// request for an earlier opening frame is a duplicate and is ignored: opening again would create a second call
// at the peer.
func (d *Dialog) receiveCallToken(now time.Duration, f *Frame) {
	if d.state != calling && d.state != registering || d.remote != 0 || d.tokenRequests >= maxTokenRequests ||
		!d.ep.elements.Has(CallTokenIE) || f.Timestamp != d.lastTimestamp {
		return
	}
	d.tokenRequests++
	d.dropUnacked(len(d.unacked))
	d.oseq, d.iseq = 0, 0
	token := append([]byte(nil), d.ep.elements.Bytes(CallTokenIE)...)
	if d.state == registering {
		d.sendRegistration(now, token)
	} else {
		d.sendNew(now, token)
	}
}

// timestamp returns the time since the dialog began, in milliseconds, and always more than that of the frame
// before.
func (d *Dialog) timestamp(now time.Duration) uint32 {
	d.lastTimestamp = max(uint32((now-d.started)/time.Millisecond), d.lastTimestamp+1)
	return d.lastTimestamp
}

func (d *Dialog) sendIAX(now time.Duration, subclass uint32, ies []byte) {
	d.sendFull(now, FrameIAX, subclass, ies, false)
}

func (d *Dialog) sendFull(now time.Duration, t FrameType, subclass uint32, payload []byte, opening bool) {
	d.transmit(now, &Frame{Type: t, Subclass: subclass, Timestamp: d.timestamp(now), Payload: payload}, opening)
}

// sendWithTimestamp answers a frame with the timestamp of that frame (6.7.2, 6.7.4).
func (d *Dialog) sendWithTimestamp(now time.Duration, subclass, timestamp uint32) {
	d.transmit(now, &Frame{Type: FrameIAX, Subclass: subclass, Timestamp: timestamp}, false)
}

// transmit sends a full frame and keeps it for retransmission until it is acknowledged. Its ISeq acknowledges
// what was received, so that a pending ACK is no longer due.
func (d *Dialog) transmit(now time.Duration, f *Frame, opening bool) {
	f.Source, f.Dest, f.OSeq, f.ISeq = d.local, d.remote, d.oseq, d.iseq
	s := d.ep.newSentFrame()
	s.buf = AppendFull(s.buf[:0], f)
	s.oseq, s.isOpening, s.retransmits, s.interval = d.oseq, opening, 0, d.ep.cfg.RetransmitInterval
	s.retransmitAt = now + s.interval
	d.oseq++
	d.ackPending = false
	d.unacked = append(d.unacked, s)
	d.ep.send(d.peer, s.buf)
	if len(d.unacked) == 1 {
		d.schedule()
	}
}

// sendUnnumbered sends a frame that takes no sequence number: ACK, VNAK or INVAL (7).
func (d *Dialog) sendUnnumbered(timestamp, subclass uint32) {
	d.ep.sendRaw(d.peer, &Frame{Source: d.local, Dest: d.remote, Timestamp: timestamp, OSeq: d.oseq, ISeq: d.iseq,
		Type: FrameIAX, Subclass: subclass})
}

func (d *Dialog) sendAck() {
	d.ackPending = false
	if d.remote != 0 {
		d.sendUnnumbered(d.ackTimestamp, Ack)
		return
	}
	d.ep.sendRaw(d.peer, &Frame{Source: d.local, Dest: placeholderCallNumber, Timestamp: d.ackTimestamp, OSeq: d.oseq,
		ISeq: d.iseq, Type: FrameIAX, Subclass: Ack})
}

func (d *Dialog) deferAck(now time.Duration, timestamp uint32) {
	d.ackTimestamp = timestamp
	if !d.ackPending {
		d.ackPending, d.ackDue = true, now+d.ep.cfg.AckDelay
	}
	d.queueAck()
}

func (d *Dialog) queueAck() {
	if !d.ackQueued {
		d.ackQueued = true
		d.ep.pendingAcks = append(d.ep.pendingAcks, d)
	}
}

// Acknowledgement and timers.

// acknowledge drops the frames that the peer has received; iseq is the next sequence number it expects.
func (d *Dialog) acknowledge(iseq uint8) {
	n := 0
	for n < len(d.unacked) && int8(d.unacked[n].oseq-iseq) < 0 {
		n++
	}
	if n > 0 {
		d.dropUnacked(n)
	}
}

// dropUnacked drops the n oldest unacknowledged frames.
func (d *Dialog) dropUnacked(n int) {
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

func (d *Dialog) recycle(s *sentFrame) { d.ep.freeFrames = append(d.ep.freeFrames, s) }

func (ep *Endpoint) newSentFrame() *sentFrame {
	if n := len(ep.freeFrames); n > 0 {
		s := ep.freeFrames[n-1]
		ep.freeFrames = ep.freeFrames[:n-1]
		return s
	}
	return &sentFrame{}
}

// retransmit sends a frame again, with the R bit set and with the current remote call number and ISeq.
func (d *Dialog) retransmit(s *sentFrame) {
	d.ep.Stats.Retransmits++
	s.buf[2] = byte(d.remote>>8) | 0x80
	s.buf[3] = byte(d.remote)
	s.buf[9] = d.iseq
	d.ackPending = false
	d.ep.send(d.peer, s.buf)
}

// retransmitAll handles VNAK: it retransmits every frame that the peer has not acknowledged.
func (d *Dialog) retransmitAll(now time.Duration) {
	for _, s := range d.unacked {
		d.retransmit(s)
		s.retransmitAt = now + s.interval
	}
	d.schedule()
}

// schedule sets the timer to the earliest time at which an action is due, or stops it if there is none.
func (d *Dialog) schedule() {
	at := time.Duration(-1)
	consider := func(t time.Duration) {
		if t != 0 && (at < 0 || t < at) {
			at = t
		}
	}
	consider(d.acceptAt)
	consider(d.expiresAt)
	consider(d.pingAt)
	for _, s := range d.unacked {
		consider(s.retransmitAt)
	}
	switch {
	case at < 0:
		d.ep.timerQueue.Stop(&d.timer)
	case !d.timer.Running() || d.timer.At() != at:
		d.ep.timerQueue.Set(&d.timer, at)
	}
}

// onTimer performs the actions of the dialog that are due: end of a wait, automatic ACCEPT, PING and
// retransmissions.
func (d *Dialog) onTimer(now time.Duration) {
	if d.expiresAt != 0 && d.expiresAt <= now {
		if d.state == closed {
			d.ep.freeDialog(d)
			return
		}
		d.expiresAt = 0
		d.Release(now, CauseTimer, "no answer to the challenge")
	}
	if d.acceptAt != 0 && d.acceptAt <= now {
		d.accept(now)
	}
	if d.pingAt != 0 && d.pingAt <= now {
		d.pingAt = now + d.ep.cfg.PingInterval
		if d.state == answered {
			d.sendIAX(now, Ping, nil)
		}
	}
	for _, s := range d.unacked {
		if s.retransmitAt > now {
			continue
		}
		if s.retransmits >= d.ep.cfg.MaxRetransmits {
			d.markLost(now, NoReply)
			return
		}
		s.retransmits++
		s.interval = min(2*s.interval, d.ep.cfg.MaxRetransmitInterval)
		s.retransmitAt = now + s.interval
		d.retransmit(s)
	}
	d.schedule()
}
