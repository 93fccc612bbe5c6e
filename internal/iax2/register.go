package iax2

import (
	"cmp"
	"time"
)

// registeredUser is the address of a user registered here, and when the registration expires (6.1).
type registeredUser struct {
	address   Addr
	expiresAt time.Duration
}

// registrationDialog holds what a registration dialog, incoming or outgoing, has in addition to a call. An
// incoming one uses user only.
type registrationDialog struct {
	user      string
	secret    string
	refresh   time.Duration
	release   bool   // REGREL: remove the registration
	md5Result string // our response to the challenge of the peer; "" until it has challenged us
}

// Registration returns the address at which a user is registered; ok is false if the user is not registered or
// the registration has expired.
func (ep *Endpoint) Registration(now time.Duration, user string) (Addr, bool) {
	r := ep.registeredUsers[user]
	if r == nil || r.expiresAt <= now {
		return Addr{}, false
	}
	return r.address, true
}

// sweepRegistrations removes expired registrations, once a second. Registration checks the expiry time itself,
// so a late removal is harmless.
func (ep *Endpoint) sweepRegistrations(now time.Duration) {
	if now < ep.sweepAt {
		return
	}
	ep.sweepAt = now + time.Second
	for user, r := range ep.registeredUsers {
		if r.expiresAt <= now {
			delete(ep.registeredUsers, user)
		}
	}
}

// receiveRegistration opens a registration dialog and challenges the user.
func (ep *Endpoint) receiveRegistration(now time.Duration, from Addr, f *Frame, b []byte) {
	if ep.cfg.Secret == nil {
		ep.rejectOpening(from, f, RegRej, CauseNotSubscribed, "registrations are not taken here")
		return
	}
	if !ep.admit(now, from, f, RegRej) {
		return
	}
	d := ep.newDialog(now, from)
	if d == nil {
		ep.rejectOpening(from, f, RegRej, CauseCongestion, "no call number free")
		return
	}
	d.openIncoming(now, f, ep.fingerprint(b))
	d.registration = &registrationDialog{user: ep.elements.Text(Username)}
	d.challengeRegistration(now)
}

// challengeRegistration asks the peer to authenticate by sending REGAUTH.
func (d *Dialog) challengeRegistration(now time.Duration) {
	d.state, d.challenge = challenged, challengeText(d.ep.cfg.Random())
	d.expiresAt = now + d.ep.cfg.AuthTimeout
	ies := AppendUint(d.ep.ies[:0], AuthMethods, authMD5)
	ies = AppendText(ies, Challenge, d.challenge)
	d.sendIAX(now, RegAuth, AppendText(ies, Username, d.registration.user))
}

// verifyRegistrant handles a REGREQ or REGREL that answers the challenge: it checks the response, changes the
// registration and answers by REGACK or REGREJ.
func (d *Dialog) verifyRegistrant(now time.Duration, f *Frame) {
	if d.state != challenged || d.registration == nil {
		return
	}
	user := d.ep.elements.Text(Username)
	if user != d.registration.user || !d.responseMatches(user) {
		d.finishRegistration(now, RegRej, AppendUint(AppendText(d.ep.ies[:0], CauseText, "not authorised"),
			CauseCode, CauseNotSubscribed))
		return
	}
	if f.Is(RegRel) {
		delete(d.ep.registeredUsers, user)
		d.emitRegistration(Event{Kind: Unregistered, User: user, From: d.peer})
		d.finishRegistration(now, RegAck, AppendText(d.ep.ies[:0], Username, user))
		return
	}
	refresh := min(time.Duration(d.ep.elements.Uint(Refresh))*time.Second, d.ep.cfg.MaxRefresh)
	refresh = cmp.Or(refresh, d.ep.cfg.MaxRefresh)
	d.ep.registeredUsers[user] = &registeredUser{d.peer, now + refresh}
	d.emitRegistration(Event{Kind: Registered, User: user, From: d.peer, Refresh: refresh})
	ies := AppendText(d.ep.ies[:0], Username, user)
	ies = AppendUint(ies, Refresh, uint32(refresh/time.Second))
	d.finishRegistration(now, RegAck, AppendAddr(ies, d.peer))
}

// emitRegistration reports a registration event. Unlike emit, it does not depend on reportEvents, which is set
// for calls only.
func (d *Dialog) emitRegistration(e Event) { d.ep.Events = append(d.ep.Events, e) }

// finishRegistration sends the last frame of a registration; its ACK closes the dialog.
func (d *Dialog) finishRegistration(now time.Duration, subclass uint32, ies []byte) {
	d.state, d.expiresAt = releasing, 0
	d.sendIAX(now, subclass, ies)
}

// Register asks a peer to register a user for the time refresh, in whole seconds, or to remove the registration
// if refresh is 0. RegistrationAccepted or RegistrationRejected follows. It returns ErrNoCallNumber if MaxDialogs dialogs
// are open.
func (ep *Endpoint) Register(now time.Duration, to Addr, user, secret string, refresh time.Duration) (*Dialog, error) {
	d := ep.newDialog(now, to)
	if d == nil {
		return nil, ErrNoCallNumber
	}
	d.state = registering
	d.registration = &registrationDialog{user: user, secret: secret, refresh: refresh, release: refresh == 0}
	d.sendRegistration(now, nil)
	return d, nil
}

func (d *Dialog) sendRegistration(now time.Duration, token []byte) {
	r, subclass := d.registration, uint32(RegReq)
	ies := AppendText(d.ep.ies[:0], Username, r.user)
	if r.release {
		subclass = RegRel
	} else {
		ies = AppendUint(ies, Refresh, uint32(r.refresh/time.Second))
	}
	if r.md5Result != "" {
		ies = AppendText(ies, MD5Result, r.md5Result)
	}
	ies = AppendText(ies, CallTokenIE, token)
	d.sendFull(now, FrameIAX, subclass, ies, d.remote == 0)
}

// receiveRegistrarReply handles REGAUTH, REGACK and REGREJ, which answer our own registration. A second
// challenge means that the peer has not accepted the response to the first.
func (d *Dialog) receiveRegistrarReply(now time.Duration, f *Frame) {
	if d.state != registering {
		return
	}
	e := &d.ep.elements
	switch {
	case f.Is(RegAuth) && d.registration.md5Result == "":
		d.registration.md5Result = md5Response(e.Text(Challenge), d.registration.secret)
		d.sendRegistration(now, nil)
	case f.Is(RegAuth):
		d.sendAck()
		d.reportRegistration(now, 0, CauseNotSubscribed)
		d.close(now)
	default:
		d.sendAck()
		if f.Is(RegRej) {
			d.reportRegistration(now, 0, uint8(e.Uint(CauseCode)))
		} else {
			d.reportRegistration(now, time.Duration(e.Uint(Refresh))*time.Second, 0)
		}
		d.close(now)
	}
}

// reportRegistration reports the result of our own registration: success if cause is 0, otherwise rejection.
func (d *Dialog) reportRegistration(now time.Duration, refresh time.Duration, cause uint8) {
	kind := RegistrationAccepted
	if cause != 0 {
		kind = RegistrationRejected
	}
	d.emitRegistration(Event{Kind: kind, Dialog: d, User: d.registration.user, Refresh: refresh, Cause: cause})
	d.state = releasing // the result is reported once: no other event follows
}
