package iax2

import (
	"cmp"
	"time"
)

// registration is a user that is reachable at an address for a while (6.1).
type registration struct {
	from  Addr
	until time.Duration
}

// registerAsk is what a registration dialog is about, at either end.
type registerAsk struct {
	user    string
	secret  string
	refresh time.Duration
	release bool // REGREL
	proof   string
}

// Registration is where a registered user is reached.
func (ep *Endpoint) Registration(now time.Duration, user string) (Addr, bool) {
	r := ep.users[user]
	if r == nil || r.until <= now {
		return Addr{}, false
	}
	return r.from, true
}

// sweepRegistrations drops those that were not refreshed, once a second: Registration looks at the time itself.
func (ep *Endpoint) sweepRegistrations(now time.Duration) {
	if now < ep.sweepAt {
		return
	}
	ep.sweepAt = now + time.Second
	for user, r := range ep.users {
		if r.until <= now {
			delete(ep.users, user)
		}
	}
}

// receiveRegister opens a registration dialog: the user is challenged first.
func (ep *Endpoint) receiveRegister(now time.Duration, from Addr, f *Frame, b []byte) {
	if ep.cfg.Secret == nil {
		ep.refuse(from, f, RegRej, CauseNotSubscribed, "registrations are not taken here")
		return
	}
	if !ep.admit(now, from, f, RegRej) {
		return
	}
	d := ep.newDialog(now, from)
	if d == nil {
		ep.refuse(from, f, RegRej, CauseCongestion, "no call number free")
		return
	}
	d.open(now, f, ep.fingerprint(b))
	d.reg = &registerAsk{user: ep.elems.Text(Username)}
	d.askRegisterProof(now)
}

func (d *Dialog) askRegisterProof(now time.Duration) {
	d.state, d.challenge = challenged, challengeText(d.ep.cfg.Random())
	d.giveUpAt = now + d.ep.cfg.AuthTimeout
	ies := AppendUint(d.ep.ies[:0], AuthMethods, authMD5)
	ies = AppendText(ies, Challenge, d.challenge)
	d.sendIAX(now, RegAuth, AppendText(ies, Username, d.reg.user))
}

// receiveRegisterProof takes REGREQ or REGREL with the answer to the challenge.
func (d *Dialog) receiveRegisterProof(now time.Duration, f *Frame) {
	if d.state != challenged || d.reg == nil {
		return
	}
	user := d.ep.elems.Text(Username)
	if user != d.reg.user || !d.proven(user) {
		d.finishRegister(now, RegRej, AppendUint(AppendText(d.ep.ies[:0], CauseText, "not authorised"),
			CauseCode, CauseNotSubscribed))
		return
	}
	if f.Is(RegRel) {
		delete(d.ep.users, user)
		d.tell(Event{Kind: Unregistered, User: user, From: d.peer})
		d.finishRegister(now, RegAck, AppendText(d.ep.ies[:0], Username, user))
		return
	}
	refresh := min(time.Duration(d.ep.elems.Uint(Refresh))*time.Second, d.ep.cfg.MaxRefresh)
	refresh = cmp.Or(refresh, d.ep.cfg.MaxRefresh)
	d.ep.users[user] = &registration{d.peer, now + refresh}
	d.tell(Event{Kind: Registered, User: user, From: d.peer, Refresh: refresh})
	ies := AppendText(d.ep.ies[:0], Username, user)
	ies = AppendUint(ies, Refresh, uint32(refresh/time.Second))
	d.finishRegister(now, RegAck, AppendAddr(ies, d.peer))
}

// tell reports an event of a dialog that the user holds no part of.
func (d *Dialog) tell(e Event) { d.ep.Events = append(d.ep.Events, e) }

// finishRegister sends the last frame of a registration; its ACK closes the dialog.
func (d *Dialog) finishRegister(now time.Duration, subclass uint32, ies []byte) {
	d.state, d.giveUpAt = releasing, 0
	d.sendIAX(now, subclass, ies)
}

// Register asks a peer to register a user for refresh, or, with refresh 0, to forget it. RegisterDone or
// RegisterRefused follows.
func (ep *Endpoint) Register(now time.Duration, to Addr, user, secret string, refresh time.Duration) (*Dialog, error) {
	d := ep.newDialog(now, to)
	if d == nil {
		return nil, ErrNoCallNumber
	}
	d.state = registering
	d.reg = &registerAsk{user: user, secret: secret, refresh: refresh, release: refresh == 0}
	d.sendRegister(now, nil)
	return d, nil
}

func (d *Dialog) sendRegister(now time.Duration, token []byte) {
	r, subclass := d.reg, uint32(RegReq)
	ies := AppendText(d.ep.ies[:0], Username, r.user)
	if r.release {
		subclass = RegRel
	} else {
		ies = AppendUint(ies, Refresh, uint32(r.refresh/time.Second))
	}
	if r.proof != "" {
		ies = AppendText(ies, MD5Result, r.proof)
	}
	ies = AppendText(ies, CallTokenIE, token)
	d.sendFull(now, FrameIAX, subclass, ies, d.remote == 0)
}

func (d *Dialog) receiveRegisterAnswer(now time.Duration, f *Frame) {
	if d.state != registering {
		return
	}
	e := &d.ep.elems
	switch {
	case f.Is(RegAuth) && d.reg.proof == "":
		d.reg.proof = md5Answer(e.Text(Challenge), d.reg.secret)
		d.sendRegister(now, nil)
	case f.Is(RegAuth):
		d.sendAck()
		d.registered(now, 0, CauseNotSubscribed)
		d.close(now)
	default:
		d.sendAck()
		if f.Is(RegRej) {
			d.registered(now, 0, uint8(e.Uint(CauseCode)))
		} else {
			d.registered(now, time.Duration(e.Uint(Refresh))*time.Second, 0)
		}
		d.close(now)
	}
}

// registered reports the end of our own registration; cause 0 is success.
func (d *Dialog) registered(now time.Duration, refresh time.Duration, cause uint8) {
	kind := RegisterDone
	if cause != 0 {
		kind = RegisterRejected
	}
	d.tell(Event{Kind: kind, Dialog: d, User: d.reg.user, Refresh: refresh, Cause: cause})
	d.state = releasing // its end is told: nothing else is
}
