// Package codec converts the types of the other packages to and from their encoded
// forms: the configuration file, the objects stored on the platform and the RPC
// messages. The conversions are written by hand. The types of the encoded forms have
// the suffix Wire.
//
// # Usage
//
//	config, err := codec.ReadFile("board.yaml", text)
//	bundle, err := codec.EncodeBundle(root, config)
//	snap, err := codec.DecodeBundle(bundle)
package codec

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

type fileWire struct {
	Services      []serviceWire `json:"services,omitempty" yaml:"services,omitempty"`
	Routes        []routeWire   `json:"routes,omitempty" yaml:"routes,omitempty"`
	UpstreamRules []ruleWire    `json:"upstream-rules,omitempty" yaml:"upstream-rules,omitempty"`
	Teams         []teamWire    `json:"teams,omitempty" yaml:"teams,omitempty"`
	RequireKeys   bool          `json:"require-keys,omitempty" yaml:"require-keys,omitempty"`
	Limits        *limitsWire   `json:"limits,omitempty" yaml:"limits,omitempty"`
}

// accessWire is the body of the resource that requires keys of requests.
type accessWire struct {
	RequireKeys bool `json:"require-keys"`
}

type limitsWire struct {
	HeaderBytes   int64  `json:"header-bytes,omitempty" yaml:"header-bytes,omitempty"`
	BodyBytes     int64  `json:"body-bytes,omitempty" yaml:"body-bytes,omitempty"`
	HeaderTimeout string `json:"header-timeout,omitempty" yaml:"header-timeout,omitempty"`
	IdleTimeout   string `json:"idle-timeout,omitempty" yaml:"idle-timeout,omitempty"`
}

type serviceWire struct {
	Name        string `json:"name" yaml:"name"`
	Connections int    `json:"connections,omitempty" yaml:"connections,omitempty"`
}

type shareWire struct {
	Service string `json:"service" yaml:"service"`
	Weight  int    `json:"weight" yaml:"weight"`
}

type matchWire struct {
	Host       string   `json:"host,omitempty" yaml:"host,omitempty"`
	PathPrefix string   `json:"path-prefix,omitempty" yaml:"path-prefix,omitempty"`
	Methods    []string `json:"methods,omitempty" yaml:"methods,omitempty"`
}

type routeWire struct {
	Name       string      `json:"name" yaml:"name"`
	Service    string      `json:"service,omitempty" yaml:"service,omitempty"`
	Split      []shareWire `json:"split,omitempty" yaml:"split,omitempty"`
	Match      matchWire   `json:"match" yaml:"match"`
	Idempotent bool        `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	Open       bool        `json:"open,omitempty" yaml:"open,omitempty"`
	Importance string      `json:"importance" yaml:"importance"`
	Deadline   string      `json:"deadline" yaml:"deadline"`
	Aim        string      `json:"aim,omitempty" yaml:"aim,omitempty"`
	Attempts   int         `json:"attempts,omitempty" yaml:"attempts,omitempty"`
	Hedge      bool        `json:"hedge,omitempty" yaml:"hedge,omitempty"`
}

type ruleWire struct {
	Name        string     `json:"name" yaml:"name"`
	Service     string     `json:"service" yaml:"service"`
	Zones       []string   `json:"zones,omitempty" yaml:"zones,omitempty"`
	Hours       *hoursWire `json:"hours,omitempty" yaml:"hours,omitempty"`
	Slots       int        `json:"slots,omitempty" yaml:"slots,omitempty"`
	Connections int        `json:"connections,omitempty" yaml:"connections,omitempty"`
	WarmUp      string     `json:"warm-up,omitempty" yaml:"warm-up,omitempty"`
	RequireEcho bool       `json:"require-echo,omitempty" yaml:"require-echo,omitempty"`
}

type hoursWire struct {
	TimeZone string     `json:"time-zone" yaml:"time-zone"`
	Spans    []spanWire `json:"spans" yaml:"spans"`
}

type spanWire struct {
	Days []string `json:"days,omitempty" yaml:"days,omitempty"`
	From string   `json:"from" yaml:"from"`
	To   string   `json:"to" yaml:"to"`
}

const (
	defaultDeadline   = 10 * time.Second
	defaultImportance = conf.Normal
)

func (w routeWire) toConf(faults *faultList) conf.Route {
	deadline, err := parseDuration(w.Deadline, defaultDeadline)
	if err != nil {
		faults.add("route %q: deadline: %v", w.Name, err)
	}
	aim, err := parseDuration(w.Aim, 0)
	if err != nil {
		faults.add("route %q: aim: %v", w.Name, err)
	}
	var split []conf.WeightedService
	for _, share := range w.Split {
		split = append(split, conf.WeightedService{Service: types.ServiceName(share.Service), Weight: share.Weight})
	}
	importance := defaultImportance
	if w.Importance != "" {
		known, ok := conf.ParseImportance(w.Importance)
		if !ok {
			faults.add("route %q: importance %q is not low, normal, high or critical", w.Name, w.Importance)
		}
		importance = known
	}
	return conf.Route{
		Name:          types.RouteName(w.Name),
		Service:       types.ServiceName(w.Service),
		Match:         conf.Match{Host: w.Match.Host, PathPrefix: w.Match.PathPrefix, Methods: types.NewSet(w.Match.Methods...)},
		Idempotent:    w.Idempotent,
		Open:          w.Open,
		Importance:    importance,
		Deadline:      deadline,
		Split:         split,
		TargetLatency: aim,
		MaxAttempts:   w.Attempts,
		Hedge:         w.Hedge,
	}
}

func routeToWire(route conf.Route) routeWire {
	wire := routeWire{
		Name:       string(route.Name),
		Service:    string(route.Service),
		Match:      matchWire{Host: route.Match.Host, PathPrefix: route.Match.PathPrefix, Methods: route.Match.Methods.Sorted()},
		Idempotent: route.Idempotent,
		Open:       route.Open,
		Importance: route.Importance.String(),
		Deadline:   route.Deadline.String(),
		Attempts:   route.MaxAttempts,
		Hedge:      route.Hedge,
	}
	if route.TargetLatency > 0 {
		wire.Aim = route.TargetLatency.String()
	}
	for _, share := range route.Split {
		wire.Split = append(wire.Split, shareWire{Service: string(share.Service), Weight: share.Weight})
	}
	return wire
}

func (w *limitsWire) toConf(faults *faultList) conf.Limits {
	if w == nil {
		return conf.Limits{}
	}
	header, err := parseDuration(w.HeaderTimeout, 0)
	if err != nil {
		faults.add("limits: header-timeout: %v", err)
	}
	idle, err := parseDuration(w.IdleTimeout, 0)
	if err != nil {
		faults.add("limits: idle-timeout: %v", err)
	}
	return conf.Limits{MaxHeaderBytes: w.HeaderBytes, MaxBodyBytes: w.BodyBytes, HeaderTimeout: header, IdleTimeout: idle}
}

func limitsToWire(limits conf.Limits) *limitsWire {
	if limits == (conf.Limits{}) {
		return nil
	}
	wire := &limitsWire{HeaderBytes: limits.MaxHeaderBytes, BodyBytes: limits.MaxBodyBytes}
	if limits.HeaderTimeout > 0 {
		wire.HeaderTimeout = limits.HeaderTimeout.String()
	}
	if limits.IdleTimeout > 0 {
		wire.IdleTimeout = limits.IdleTimeout.String()
	}
	return wire
}

func (w ruleWire) toConf(faults *faultList) conf.UpstreamRule {
	warmUp, err := parseDuration(w.WarmUp, 0)
	if err != nil {
		faults.add("upstream-rule %q: warm-up: %v", w.Name, err)
	}
	rule := conf.UpstreamRule{
		Name:           types.RuleName(w.Name),
		Service:        types.ServiceName(w.Service),
		MaxSlots:       w.Slots,
		MaxConnections: w.Connections,
		WarmUp:         warmUp,
		RequireEcho:    w.RequireEcho,
	}
	zones := make([]types.Zone, 0, len(w.Zones))
	for _, zone := range w.Zones {
		zones = append(zones, types.Zone(zone))
	}
	rule.Zones = types.NewSet(zones...)
	if w.Hours == nil {
		return rule
	}
	hours, problems := w.Hours.toConf()
	for _, problem := range problems {
		faults.add("upstream-rule %q: %v", w.Name, problem)
	}
	rule.Hours = types.Some(hours)
	return rule
}

func ruleToWire(rule conf.UpstreamRule) ruleWire {
	wire := ruleWire{
		Name:        string(rule.Name),
		Service:     string(rule.Service),
		Slots:       rule.MaxSlots,
		Connections: rule.MaxConnections,
		RequireEcho: rule.RequireEcho,
	}
	if rule.WarmUp > 0 {
		wire.WarmUp = rule.WarmUp.String()
	}
	for _, zone := range rule.Zones.Sorted() {
		wire.Zones = append(wire.Zones, string(zone))
	}
	if hours, ok := rule.Hours.Get(); ok {
		wire.Hours = hoursToWire(hours)
	}
	return wire
}

func parseDuration(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	return time.ParseDuration(text)
}
