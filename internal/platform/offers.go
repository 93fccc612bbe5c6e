package platform

import (
	"slices"
	"strconv"
	"time"

	"pipitring/decide"
	"pipitring/internal/coordinator"
	"pipitring/internal/jsonl"
)

// callOffer is a caller's set-up request.
type callOffer struct {
	decide.Offer
	standingAt decide.ExchangeID // the switch where the call stands already; set if isStanding
	isStanding bool              // the caller asks to adopt a standing call
	key        []byte            // a JSON string; nil if absent
}

const (
	maxTimeLeftMS  = int64(24 * time.Hour / time.Millisecond)
	maxDestination = 1<<16 - 1
	// maxDescription is the longest description, in bytes, that is forwarded. A line to a switch is shorter than the
	// caller's line except for escapes in names, so with a longer one it could exceed jsonl.MaxLine.
	maxDescription = jsonl.MaxLine - 512
)

// parseOffer parses and validates the fields of a set-up, so that nothing is forwarded that a switch cannot parse.
func (p *caller) parseOffer(m *jsonl.Message) (o callOffer, ok bool) {
	class, classOK := p.core.classes[m.Fields["class"]]
	left, leftOK := m.IntField("left", 0, maxTimeLeftMS)
	if !classOK || !leftOK || len(m.Description) > maxDescription {
		return o, false
	}
	o.Class, o.Patience = class, time.Duration(left)*time.Millisecond
	// A call may have no tenant. A tenant that is not in the settings is an error.
	o.Tenant = decide.Unknown
	if tenants := p.core.cfg.Setup.TenantNames; len(tenants) > 0 && m.Fields["tenant"] != "" {
		if o.Tenant = slices.Index(tenants, m.Fields["tenant"]); o.Tenant < 0 {
			return o, false
		}
	}
	o.Dest, o.Width, o.AdvisedTandem = decide.Unknown, p.core.cfg.Setup.Settings.Classes[class].Width, decide.Unknown
	if key, present := m.Fields["key"]; present {
		n, err := strconv.ParseUint(key, 16, 64)
		if err != nil || !jsonl.IsHex(key) {
			return o, false
		}
		o.CalledNumber, o.key = n, jsonl.Quote(key)
	}
	if r, present := m.Fields["retry"]; present && r != "0" {
		if r != "1" {
			return o, false
		}
		o.Redial = true
	}
	if !o.parseExtras(m.Fields["extras"]) || m.Description == nil && !o.isStanding {
		return o, false
	}
	return o, true
}

// parseExtras parses the field "extras", such as dest:2;width:1;via:-1. Unknown names are ignored.
func (o *callOffer) parseExtras(text string) bool {
	via := decide.Unknown
	for name, value := range pairs(text) {
		if name == "at" {
			id, err := coordinator.ParseID(value)
			if err != nil {
				return false
			}
			o.standingAt, o.isStanding = decide.ExchangeID(id), true
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n != float64(int(n)) || n < -1 || n > maxDestination {
			return false
		}
		switch name {
		case "dest":
			o.Dest = int(n)
		case "width":
			if n < 1 {
				return false
			}
			o.Width = int(n)
		case "via":
			via = int(n)
		case "transit":
			o.Transit = n == 1
		case "again":
			o.WasCut = n == 1
		}
	}
	if !o.Transit {
		o.AdvisedTandem = via // for a transit call, via is the exchange that it comes from
	}
	return o.Dest >= 0 || o.isStanding
}
