package m3ua

import "slices"

// ASP is the connection to one process of an application server, usually a Link.
type ASP interface {
	Send(d Data) bool
	State() State
}

// ApplicationServer is a set of ASPs that serve one destination. In override mode the ASP activated last
// carries all traffic (4.3.4.3); in loadshare mode the SLS selects the ASP, so that the messages of one circuit
// stay in order.
type ApplicationServer struct {
	Mode uint32 // TrafficOverride or TrafficLoadshare
	asps []ASP  // in service, in the order of Add
}

// Add takes an ASP into service as the one activated last, also if it was in service before.
func (s *ApplicationServer) Add(p ASP) {
	s.Remove(p)
	s.asps = append(s.asps, p)
}

// Remove takes an ASP out of service.
func (s *ApplicationServer) Remove(p ASP) {
	s.asps = slices.DeleteFunc(s.asps, func(o ASP) bool { return o == p })
}

// Active returns the number of ASPs in service.
func (s *ApplicationServer) Active() int { return len(s.asps) }

// Send sends a message by the selected ASP, or by the next one that accepts it. It returns false if no ASP
// accepts the message; the message is then discarded.
func (s *ApplicationServer) Send(d Data) bool {
	n := len(s.asps)
	first := n - 1
	if s.Mode == TrafficLoadshare && n > 0 {
		first = int(d.SLS) % n
	}
	for i := range n {
		if s.asps[(first+i)%n].Send(d) {
			return true
		}
	}
	return false
}
