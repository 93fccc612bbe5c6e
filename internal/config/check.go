package config

import (
	"fmt"
	"net/url"
	"time"

	"pipitring/internal/call"
	"pipitring/internal/isup"
	"pipitring/internal/tomlbind"
)

// check validates the settings, fills in defaults and builds the dial plan. It continues after a problem, so that all of
// them are reported.
func (s *Settings) check(d *tomlbind.Doc) {
	s.checkRouter(d)
	s.checkRules(d)
	s.Plan = call.NewPlan()
	s.checkExchanges(d)
	s.checkClasses(d)
	s.checkTenants(d)
	s.checkGroups(d)
	s.checkServices(d)
	s.checkRecords(d)
	if len(d.Problems) == 0 {
		if err := s.DecideSettings().Validate(); err != nil {
			d.Report("", "%v", err)
		}
	}
}

// requirePositive reports a duration that is not above zero.
func requirePositive(d *tomlbind.Doc, key string, t time.Duration) {
	if t <= 0 {
		d.Report(key, "%v must be above zero", t)
	}
}

// checkRouter validates the [router] table. The number of routers defaults to that of the exchanges.
func (s *Settings) checkRouter(d *tomlbind.Doc) {
	r := &s.Router
	if !r.Listen.IsValid() {
		d.Report("router.listen", "an address such as \"127.0.0.1:4569\" is required")
	} else if !r.Listen.Addr().Is4() {
		d.Report("router.listen", "%v is not an IPv4 address", r.Listen)
	}
	if r.Exchange < 0 {
		d.Report("router.exchange", "number %d is negative", r.Exchange)
	}
	if r.Routers == 0 {
		r.Routers = max(1, len(s.Exchange))
	}
	if r.Routers < 1 {
		d.Report("router.routers", "%d routers; the minimum is 1", r.Routers)
	}
	if r.MaxCalls < 0 {
		d.Report("router.max_calls", "%d is negative", r.MaxCalls)
	}
	if r.AnswerMargin < 0 {
		d.Report("router.answer_margin", "%v is negative", r.AnswerMargin)
	}
	requirePositive(d, "router.drain_limit", r.DrainLimit)
}

// checkRules validates the [rules] table.
func (s *Settings) checkRules(d *tomlbind.Doc) {
	r := &s.Rules
	if r.ReleaseWait < 0 {
		d.Report("rules.release_wait", "%v is negative", r.ReleaseWait)
	}
	requirePositive(d, "rules.drain_grace", r.DrainGrace)
	if r.DrainGrace > 0 && r.DrainGrace < 4*s.IAX.AcceptDelay {
		d.Report("rules.drain_grace",
			"%v is under four times iax.accept_delay (%v): set-ups that arrived could not be distinguished "+
				"from lost ones before the grace period ends", r.DrainGrace, s.IAX.AcceptDelay)
	}
	if r.ColdCapacity <= 0 || r.ColdCapacity > 1 {
		d.Report("rules.cold_from", "%v is not a share above 0 and up to 1", r.ColdCapacity)
	}
	if r.ColdDuration < 0 {
		d.Report("rules.cold_for", "%v is negative", r.ColdDuration)
	}
	if r.OverloadMultiple < 1 {
		d.Report("rules.fall_multiple", "%v is under the minimum of 1", r.OverloadMultiple)
	}
	if r.ClockDrift < 0 || r.ClockDrift > 0.1 {
		d.Report("rules.clock_drift", "%v is not a share from 0 to 0.1", r.ClockDrift)
	}
	if r.MaxAttempts < 1 {
		d.Report("rules.max_attempts", "%d attempts per call; the minimum is 1", r.MaxAttempts)
	}
}

// checkExchanges validates the [[exchange]] tables, collects the zones and adds the prefixes to the dial plan.
func (s *Settings) checkExchanges(d *tomlbind.Doc) {
	seen, zones, foundOwn := map[int]bool{}, map[string]bool{}, false
	for i, x := range s.Exchange {
		key := fmt.Sprintf("exchange[%d]", i+1)
		if x.Number < 0 {
			d.Report(key+".number", "%d is negative", x.Number)
		}
		if seen[x.Number] {
			d.Report(key+".number", "exchange %d is given twice", x.Number)
		}
		seen[x.Number] = true
		foundOwn = foundOwn || x.Number == s.Router.Exchange
		if !zones[x.Zone] {
			zones[x.Zone] = true
			s.Zones = append(s.Zones, x.Zone)
		}
		for j, p := range x.Prefixes {
			if p == "" {
				d.Report(fmt.Sprintf("%s.prefixes[%d]", key, j+1), "an empty prefix would match every number")
			} else if err := s.Plan.AddDest(p, x.Number); err != nil {
				d.Report(fmt.Sprintf("%s.prefixes[%d]", key, j+1), "%v", err)
			}
		}
	}
	if !foundOwn {
		d.Report("router.exchange", "exchange %d is not among the [[exchange]] tables", s.Router.Exchange)
	}
}

// checkClasses validates the [[class]] tables, fills in their defaults and adds them to the dial plan.
func (s *Settings) checkClasses(d *tomlbind.Doc) {
	if len(s.Class) == 0 {
		d.Report("class", "at least one [[class]] is required")
	}
	seen := map[string]bool{}
	for i := range s.Class {
		c := &s.Class[i]
		key := fmt.Sprintf("class[%d]", i+1)
		if c.Name == "" || seen[c.Name] {
			d.Report(key+".name", "name %q is empty or given twice", c.Name)
		}
		seen[c.Name] = true
		if c.Width == 0 {
			c.Width = 1
		}
		if c.Width < 1 {
			d.Report(key+".width", "%d circuits per call; the minimum is 1", c.Width)
		}
		requirePositive(d, key+".hold", c.HoldTime)
		requirePositive(d, key+".aim", c.SetupTarget)
		requirePositive(d, key+".deadline", c.Deadline)
		if c.Patience == 0 {
			c.Patience = c.Deadline
		}
		if c.Patience < 0 || c.Patience > c.Deadline {
			d.Report(key+".patience", "%v is not from 0 to the deadline of %v", c.Patience, c.Deadline)
		} else if c.Patience > 0 && c.Patience <= 2*s.Router.AnswerMargin {
			d.Report(key+".patience", "%v leaves no time for the call: it must be above twice router.answer_margin (%v)",
				c.Patience, s.Router.AnswerMargin)
		}
		if c.Value <= 0 {
			d.Report(key+".worth", "%v must be above zero", c.Value)
		}
		if c.LateValue < 0 || c.LateValue > 1 {
			d.Report(key+".late_worth", "%v is not a share from 0 to 1", c.LateValue)
		}
		s.addPlanEntries(d, key, c.Users, c.Contexts, c.Prefixes, i, s.Plan.AddClass, s.Plan.AddClassPrefix)
		if c.Name == s.Router.DefaultClass {
			s.Plan.DefaultClass = i
		}
	}
	if s.Router.DefaultClass != "" && !seen[s.Router.DefaultClass] {
		d.Report("router.default_class", "no class is named %q", s.Router.DefaultClass)
	}
}

// checkTenants validates the [[tenant]] tables and adds them to the dial plan.
func (s *Settings) checkTenants(d *tomlbind.Doc) {
	seen := map[string]bool{}
	for i, t := range s.Tenant {
		key := fmt.Sprintf("tenant[%d]", i+1)
		if t.Name == "" || seen[t.Name] {
			d.Report(key+".name", "name %q is empty or given twice", t.Name)
		}
		seen[t.Name] = true
		if t.Quota < 0 {
			d.Report(key+".quota", "%v is negative", t.Quota)
		}
		s.addPlanEntries(d, key, t.Users, t.Contexts, t.Prefixes, i, s.Plan.AddTenant, s.Plan.AddTenantPrefix)
	}
}

// addPlanEntries adds the users, contexts and prefixes that identify a class or tenant to the dial plan.
func (s *Settings) addPlanEntries(d *tomlbind.Doc, key string, users, contexts, prefixes []string, value int,
	byName func(call.PlanKey, string, int) error, byPrefix func(string, int) error) {
	for j, u := range users {
		if err := byName(call.KeyUser, u, value); err != nil {
			d.Report(fmt.Sprintf("%s.users[%d]", key, j+1), "%v", err)
		}
	}
	for j, c := range contexts {
		if err := byName(call.KeyContext, c, value); err != nil {
			d.Report(fmt.Sprintf("%s.contexts[%d]", key, j+1), "%v", err)
		}
	}
	for j, p := range prefixes {
		if err := byPrefix(p, value); err != nil {
			d.Report(fmt.Sprintf("%s.prefixes[%d]", key, j+1), "%v", err)
		}
	}
}

// checkGroups validates the [[group]] tables and collects the group sizes.
func (s *Settings) checkGroups(d *tomlbind.Doc) {
	known := map[int]bool{}
	for _, x := range s.Exchange {
		known[x.Number] = true
	}
	s.GroupSizes = map[int]int{}
	for i, g := range s.Group {
		key := fmt.Sprintf("group[%d]", i+1)
		switch _, twice := s.GroupSizes[g.To]; {
		case g.To == s.Router.Exchange:
			d.Report(key+".to", "the group leads to the router's own exchange")
		case !known[g.To]:
			d.Report(key+".to", "exchange %d is not among the [[exchange]] tables", g.To)
		case twice:
			d.Report(key+".to", "the group to exchange %d is given twice", g.To)
		}
		if g.Circuits < 0 {
			d.Report(key+".circuits", "%d is negative", g.Circuits)
		}
		if g.Peer.IsValid() && !g.Peer.Addr().Is4() {
			d.Report(key+".peer", "%v is not an IPv4 address", g.Peer)
		}
		s.GroupSizes[g.To] = g.Circuits
	}
	s.checkISUP(d)
}

// checkISUP validates the groups with ISUP circuits and the [switch], [m3ua] and [isup] tables. A point code that is not
// given is the exchange's number plus one.
func (s *Settings) checkISUP(d *tomlbind.Doc) {
	const maxPointCode = 1<<24 - 1 // M3UA carries point codes of at most 24 bits
	if s.Router.PointCode == 0 {
		s.Router.PointCode = uint32(s.Router.Exchange + 1)
	}
	if s.Router.PointCode > maxPointCode {
		d.Report("router.point_code", "%d has more than 24 bits", s.Router.PointCode)
	}
	codes := map[uint32]bool{s.Router.PointCode: true}
	hasISUP := false
	own := Group{To: s.Router.Exchange, Circuits: s.Switch.Circuits, Front: s.Switch.Front, PointCode: s.Switch.PointCode,
		FirstCIC: s.Switch.FirstCIC, Connect: s.Switch.Connect}
	if own.Front == FrontISUP && own.PointCode == 0 {
		d.Report("switch.point_code", "is required for a switch that uses ISUP")
	}
	if own.Circuits < 0 || own.Front == FrontISUP && own.Circuits < 1 {
		d.Report("switch.circuits", "%d circuits; the minimum is 0, or 1 for a switch that uses ISUP", own.Circuits)
	}
	for i := range len(s.Group) + 1 {
		g, key := &own, "switch"
		if i < len(s.Group) {
			g, key = &s.Group[i], fmt.Sprintf("group[%d]", i+1)
		}
		switch g.Front {
		case "", FrontIAX2:
			g.Front = FrontIAX2
			if len(g.Connect) > 0 || g.FirstCIC != 0 || g.PointCode != 0 {
				d.Report(key, "connect, first_cic and point_code apply only to groups with front = %q", FrontISUP)
			}
			continue
		case FrontISUP:
		default:
			d.Report(key+".front", "%q is none of %s, %s", g.Front, FrontIAX2, FrontISUP)
			continue
		}
		hasISUP = true
		if g.PointCode == 0 {
			g.PointCode = uint32(g.To + 1)
		}
		if g.PointCode > maxPointCode || codes[g.PointCode] {
			d.Report(key+".point_code", "%d has more than 24 bits or is another exchange's", g.PointCode)
		}
		codes[g.PointCode] = true
		g.FirstCIC = max(g.FirstCIC, 1)
		if last := g.FirstCIC + g.Circuits - 1; last > int(isup.MaxCIC) {
			d.Report(key+".circuits", "the last circuit's CIC would be %d, over the maximum of %d", last, isup.MaxCIC)
		}
		for j, a := range g.Connect {
			if !a.IsValid() {
				d.Report(fmt.Sprintf("%s.connect[%d]", key, j+1), "an address such as \"127.0.0.1:2905\" is required")
			}
		}
		if len(g.Connect) == 0 && !s.M3UA.Listen.IsValid() {
			d.Report(key+".connect", "the list is empty and m3ua.listen is not set: no association could be established")
		}
	}
	s.Switch.FirstCIC, s.Switch.Front = own.FirstCIC, own.Front
	if m := &s.M3UA; hasISUP || m.Listen.IsValid() {
		if m.Mode != "override" && m.Mode != "loadshare" {
			d.Report("m3ua.mode", "%q is none of override, loadshare", m.Mode)
		}
		requirePositive(d, "m3ua.ack_wait", m.AckTimeout)
		requirePositive(d, "m3ua.beat", m.HeartbeatInterval)
		if m.MaxRetries < 1 {
			d.Report("m3ua.retries", "%d retransmissions; the minimum is 1", m.MaxRetries)
		}
		if m.MaxUnsentBytes < 4096 {
			d.Report("m3ua.max_out", "%d bytes is under the minimum of 4096", m.MaxUnsentBytes)
		}
	}
	t := &s.ISUP
	for key, v := range map[string]time.Duration{"t1": t.T1, "t7": t.T7, "t9": t.T9, "t12": t.T12, "t16": t.T16} {
		requirePositive(d, "isup."+key, v)
	}
	for key, v := range map[string][2]time.Duration{"t5": {t.T5, t.T1}, "t13": {t.T13, t.T12}, "t17": {t.T17, t.T16}} {
		if v[0] < v[1] {
			d.Report("isup."+key, "%v is shorter than the timer of retransmissions (%v)", v[0], v[1])
		}
	}
}

// checkServices validates the [list], [iax], [[user]], [log] and [http] tables.
func (s *Settings) checkServices(d *tomlbind.Doc) {
	switch l := &s.List; {
	case l.File == "" && l.DiscoveryURL == "":
		d.Report("list", "either file or register is required")
	case l.File != "" && l.DiscoveryURL != "":
		d.Report("list.register", "file and register must not both be given")
	case l.DiscoveryURL != "":
		u, err := url.Parse(l.DiscoveryURL)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			d.Report("list.register", "%q is not a URL such as \"http://127.0.0.1:8500\"", l.DiscoveryURL)
		}
		requirePositive(d, "list.wait", l.QueryWait)
	}
	x := &s.IAX
	requirePositive(d, "iax.retry_first", x.RetransmitInterval)
	requirePositive(d, "iax.linger", x.Linger)
	if x.MaxRetransmitInterval < x.RetransmitInterval {
		d.Report("iax.retry_max", "%v is under retry_first (%v)", x.MaxRetransmitInterval, x.RetransmitInterval)
	}
	if x.MaxRetransmits < 1 {
		d.Report("iax.retries", "%d retransmissions; the minimum is 1", x.MaxRetransmits)
	}
	if x.AckDelay < 0 || x.AckDelay > x.RetransmitInterval/2 {
		d.Report("iax.ack_delay", "%v is not from 0 to half of retry_first (%v)", x.AckDelay, x.RetransmitInterval)
	}
	if x.AcceptDelay < 0 || x.AcceptDelay > x.RetransmitInterval/2 {
		d.Report("iax.accept_delay", "%v is not from 0 to half of retry_first (%v)", x.AcceptDelay, x.RetransmitInterval)
	}
	if x.MaxDialogs < 1 || x.MaxDialogs > 32766 {
		d.Report("iax.max_dialogs", "%d is not from 1 to 32766", x.MaxDialogs)
	}
	if x.MaxPerHost < 0 {
		d.Report("iax.max_per_host", "%d is negative", x.MaxPerHost)
	}
	if x.Challenge && len(s.User) == 0 {
		d.Report("iax.challenge", "calls would be challenged, but no [[user]] is configured")
	}
	names := map[string]bool{}
	for i, u := range s.User {
		if u.Name == "" || u.Secret == "" || names[u.Name] {
			d.Report(fmt.Sprintf("user[%d]", i+1), "name and secret are required, and name %q must be unique", u.Name)
		}
		names[u.Name] = true
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		d.Report("log.level", "%q is none of debug, info, warn, error", s.Log.Level)
	}
	if s.Log.PerSecond < 1 {
		d.Report("log.per_second", "%d lines; the minimum is 1", s.Log.PerSecond)
	}
	if s.HTTP.Listen.IsValid() && !s.HTTP.Listen.Addr().IsLoopback() {
		d.Report("http.listen", "%v is not a loopback address: metrics are served without a password", s.HTTP.Listen)
	}
}
