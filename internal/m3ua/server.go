package m3ua

import "slices"

// ASP is one ASP of an application server, as a Server sees it: a Link that is up or not.
type ASP interface {
	Send(d Data) bool
	State() State
}

// ApplicationServer is an application server (AS): several processes that serve one destination, in override (the newest
// active one carries all, 4.3.4.3) or load-share (by SLS, so that the messages of one circuit stay in order).
type ApplicationServer struct {
	Mode uint32
	asps []ASP // active, oldest first
}

// Add takes a process into service.
func (s *ApplicationServer) Add(p ASP) {
	s.Remove(p)
	s.asps = append(s.asps, p)
}

// Remove takes a process out of service.
func (s *ApplicationServer) Remove(p ASP) {
	s.asps = slices.DeleteFunc(s.asps, func(o ASP) bool { return o == p })
}

// Active is the number of processes in service.
func (s *ApplicationServer) Active() int { return len(s.asps) }

// Send sends by the process whose turn it is; where that one cannot, by the next. False if none can: then the
// message has left by none of them.
func (s *ApplicationServer) Send(d Data) bool {
	n := len(s.asps)
	first := n - 1
	if s.Mode == TrafficShare && n > 0 {
		first = int(d.SLS) % n
	}
	for i := range n {
		if s.asps[(first+i)%n].Send(d) {
			return true
		}
	}
	return false
}
