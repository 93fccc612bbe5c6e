package iax2

// Q.850 cause codes that this package sends or interprets (RFC 5456, 8.6.21).
const (
	CauseNormal        = 16
	CauseBusy          = 17
	CauseNoAnswer      = 18
	CauseNoCircuit     = 34
	CauseCongestion    = 42
	CauseNotSubscribed = 50
	CauseBearer        = 58
	CauseTimer         = 102
	CauseProtocol      = 111
)
