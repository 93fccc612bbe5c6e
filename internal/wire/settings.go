package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"pipitring/decide"
)

// InstanceSettings are the settings of one instance, read from the settings text of its Hello.
type InstanceSettings struct {
	Settings     decide.Settings
	ReportFields []string // names of the values in a load report, in the order of Stats.V
	ClassNames   []string // by class index; callers of the platform use these names
	ZoneNames    []string // by zone index
	TenantNames  []string // by tenant index; callers of the platform use these names

	ConnectTimeout time.Duration // a connection attempt fails after this
	MaxOpenCalls   int           // open calls of one instance; 0 is no limit
}

// settingsText is the JSON form of the settings text. Most fields are named after their keys.
type settingsText struct {
	Clients struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Contract struct {
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		FallMultiple float64 `json:"fallMultiple"`
		MustAskInS   float64 `json:"mustAskInS"`
	} `json:"contract"`
	Discovery      string   `json:"discovery"`
	FailureDomains []string `json:"failureDomains"`
	FamilyInfo     struct {
		ClassCells    [][]int   `json:"classCells"`
		HoldingS      []float64 `json:"holdingS"`
		Widths        []float64 `json:"widths"`
		SelfNo        *int      `json:"selfNo"`
		ReleaseGuardS float64   `json:"releaseGuardS"`
		ResendS       float64   `json:"resendS"`
		Shape         string    `json:"shape"`
	} `json:"familyInfo"`
	Limits struct {
		RetryAfter      bool    `json:"retryAfter"`
		MaxAttempts     int     `json:"maxAttempts"`
		MaxOpen         int     `json:"maxOpen"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
	} `json:"limits"`
	OverShareWorth float64 `json:"overShareWorth"`
	PeersTotal     int     `json:"peersTotal"`
	Profiles       []struct {
		AimS      float64 `json:"aimS"`
		DeadlineS float64 `json:"deadlineS"`
		LateValue float64 `json:"lateValue"`
		Value     float64 `json:"value"`
		WindowS   float64 `json:"windowS"`
		KeyScope  string  `json:"keyScope"`
		Name      string  `json:"name"`
		Repeat    string  `json:"repeat"`
	} `json:"profiles"`
	Realms []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"realms"`
	Telemetry struct {
		Fields []string `json:"fields"`
	} `json:"telemetry"`
}

// ParseSettings reads a settings text. Unknown keys are ignored. Absent keys are zero, except for widths (1),
// selfNo (unknown), repeat (safe) and maxAttempts (1). It returns an error if the text is not JSON, if holdingS does
// not have one value for each class, or if a value is out of range.
func ParseSettings(text []byte) (InstanceSettings, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return InstanceSettings{}, fmt.Errorf("settings: %w", err)
	}
	s := decide.Settings{
		OwnExchange: decide.Unknown, Pools: t.FamilyInfo.Shape == "skills", Proxies: t.PeersTotal, ClassPools: t.FamilyInfo.ClassCells,
		OverQuotaValue: t.OverShareWorth, MaxAttempts: max(t.Limits.MaxAttempts, 1),
		SendRetryAfter: t.Limits.RetryAfter, Subscribe: t.Discovery == "subscribe",
		RedialsMarked: t.Clients.MarksRetry, MaxRetryAfter: Seconds(t.Limits.MaxRetryAfterS),
		ReleaseWait: Seconds(t.FamilyInfo.ReleaseGuardS), ResendAfter: Seconds(t.FamilyInfo.ResendS),
		MaxSubscribeInterval: Seconds(t.Contract.MustAskInS), ColdCapacity: t.Contract.ColdFrom,
		ColdDuration: Seconds(t.Contract.ColdS), OverloadMultiple: t.Contract.FallMultiple,
	}
	if t.FamilyInfo.SelfNo != nil {
		s.OwnExchange = *t.FamilyInfo.SelfNo
	}
	if len(t.FamilyInfo.HoldingS) != len(t.Profiles) {
		return InstanceSettings{}, fmt.Errorf("settings: familyInfo.holdingS has %d values for %d classes",
			len(t.FamilyInfo.HoldingS), len(t.Profiles))
	}
	var names, tenants []string
	for i, p := range t.Profiles {
		c := decide.Class{
			HoldTime: Seconds(t.FamilyInfo.HoldingS[i]), Width: 1, SetupTarget: Seconds(p.AimS),
			Deadline: Seconds(p.DeadlineS), Value: p.Value, LateValue: p.LateValue, KeyWindow: Seconds(p.WindowS),
		}
		if i < len(t.FamilyInfo.Widths) {
			c.Width = RoundToInt(t.FamilyInfo.Widths[i])
		}
		c.Repeat = map[string]decide.Repeat{"keyed": decide.RepeatKeyed, "unsafe": decide.RepeatUnsafe}[p.Repeat]
		c.KeyScope = map[string]decide.KeyScope{"zone": decide.ScopeZone, "cell": decide.ScopeExchange}[p.KeyScope]
		s.Classes = append(s.Classes, c)
		names = append(names, p.Name)
	}
	for _, r := range t.Realms {
		s.Tenants = append(s.Tenants, decide.Tenant{Quota: r.QuotaPerS})
		tenants = append(tenants, r.Name)
	}
	if err := s.Validate(); err != nil {
		return InstanceSettings{}, fmt.Errorf("settings: %w", err)
	}
	return InstanceSettings{Settings: s, ReportFields: t.Telemetry.Fields, ClassNames: names, ZoneNames: t.FailureDomains, TenantNames: tenants,
		ConnectTimeout: Seconds(t.Limits.ConnectTimeoutS), MaxOpenCalls: t.Limits.MaxOpen}, nil
}

// Seconds converts seconds on the wire to a duration of whole microseconds. Values are limited to -1e9 to 1e9 s;
// NaN is 0.
func Seconds(s float64) time.Duration {
	const limit = 1e9
	if math.IsNaN(s) {
		return 0
	}
	s = math.Max(-limit, math.Min(limit, s))
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}

// RoundToInt converts a number that should be whole to an int. NaN and values below -1e9 or above 1e9 give
// decide.Unknown.
func RoundToInt(v float64) int {
	if math.IsNaN(v) || math.Abs(v) > 1e9 {
		return decide.Unknown
	}
	return int(math.Round(v))
}

// ParseReport assigns the values of a load report to its fields by name. Values that are absent, negative,
// NaN or infinite are decide.Unknown.
func ParseReport(st Stats, names []string) decide.Report {
	r := decide.NoReport
	for i, name := range names {
		if i >= int(st.N) {
			break
		}
		SetReportField(&r, name, float64(st.V[i]))
	}
	return r
}

// SetReportField sets one field of a load report by its name on the wire. The circuits of the group have two names
// each. Unknown names, and values that are negative, NaN or infinite, have no effect.
func SetReportField(r *decide.Report, name string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return
	}
	switch name {
	case "idle", "x0":
		r.Free = v
	case "circuits", "x1":
		r.Size = v
	case "util":
		r.Util = v
	case "queue":
		r.Queue = v
	case "latency_ms":
		r.Wait = v / 1000
	case "max_rate":
		r.MaxRate = v
	case "reduce":
		r.ThrottleShare = v
	}
}
