package codec

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// ConfigToProto converts a configuration to its form in the operators' API.
func ConfigToProto(config conf.Config) *opsv1.Config {
	wire := &opsv1.Config{}
	for _, service := range config.Services {
		wire.Services = append(wire.Services, &opsv1.Service{Name: string(service.Name), Connections: uint32(service.MaxConnections)})
	}
	for _, route := range config.Routes {
		wire.Routes = append(wire.Routes, routeToProto(route))
	}
	for _, rule := range config.UpstreamRules {
		wire.UpstreamRules = append(wire.UpstreamRules, ruleToProto(rule))
	}
	for _, team := range config.Teams {
		wire.Teams = append(wire.Teams, teamToProto(team))
	}
	wire.RequireKeys = config.RequireKeys
	wire.Limits = limitsToProto(config.Limits)
	return wire
}

func routeToProto(route conf.Route) *opsv1.Route {
	wire := &opsv1.Route{
		Name:       string(route.Name),
		Service:    string(route.Service),
		Match:      &opsv1.Match{Host: route.Match.Host, PathPrefix: route.Match.PathPrefix, Methods: route.Match.Methods.Sorted()},
		Idempotent: route.Idempotent,
		Importance: opsv1.Importance(route.Importance),
		Deadline:   durationpb.New(route.Deadline),
		Hedge:      route.Hedge,
		Attempts:   uint32(route.MaxAttempts),
		Open:       route.Open,
	}
	if route.TargetLatency > 0 {
		wire.Aim = durationpb.New(route.TargetLatency)
	}
	for _, share := range route.Split {
		wire.Split = append(wire.Split, &opsv1.WeightedService{Service: string(share.Service), Weight: uint32(share.Weight)})
	}
	return wire
}

func ruleToProto(rule conf.UpstreamRule) *opsv1.UpstreamRule {
	wire := &opsv1.UpstreamRule{
		Name:        string(rule.Name),
		Service:     string(rule.Service),
		Slots:       uint32(rule.MaxSlots),
		Connections: uint32(rule.MaxConnections),
		WarmUp:      durationpb.New(rule.WarmUp),
		RequireEcho: rule.RequireEcho,
	}
	for _, zone := range rule.Zones.Sorted() {
		wire.Zones = append(wire.Zones, string(zone))
	}
	if hours, ok := rule.Hours.Get(); ok {
		spans := hoursToWire(hours)
		wire.Hours = &opsv1.Hours{TimeZone: spans.TimeZone}
		for _, span := range spans.Spans {
			wire.Hours.Spans = append(wire.Hours.Spans, &opsv1.Span{Days: span.Days, From: span.From, To: span.To})
		}
	}
	return wire
}

// ConfigFromProto converts a configuration from its form in the operators' API.
func ConfigFromProto(wire *opsv1.Config) (conf.Config, error) {
	var file fileWire
	for _, service := range wire.GetServices() {
		file.Services = append(file.Services, serviceWire{Name: service.GetName(), Connections: int(service.GetConnections())})
	}
	for _, route := range wire.GetRoutes() {
		file.Routes = append(file.Routes, routeFromProto(route))
	}
	for _, rule := range wire.GetUpstreamRules() {
		file.UpstreamRules = append(file.UpstreamRules, ruleFromProto(rule))
	}
	config, err := file.toConf()
	if err != nil {
		return conf.Config{}, err
	}
	config.RequireKeys = wire.GetRequireKeys()
	config.Limits = limitsFromProto(wire.GetLimits())
	for _, team := range wire.GetTeams() {
		item, err := teamFromProto(team)
		if err != nil {
			return conf.Config{}, err
		}
		config.Teams = append(config.Teams, item)
	}
	return config, nil
}

func routeFromProto(route *opsv1.Route) routeWire {
	wire := routeWire{
		Name:       route.GetName(),
		Service:    route.GetService(),
		Match:      matchWire{Host: route.GetMatch().GetHost(), PathPrefix: route.GetMatch().GetPathPrefix(), Methods: route.GetMatch().GetMethods()},
		Idempotent: route.GetIdempotent(),
		Hedge:      route.GetHedge(),
		Attempts:   int(route.GetAttempts()),
		Open:       route.GetOpen(),
	}
	for _, share := range route.GetSplit() {
		wire.Split = append(wire.Split, shareWire{Service: share.GetService(), Weight: int(share.GetWeight())})
	}
	if route.GetAim() != nil {
		wire.Aim = route.GetAim().AsDuration().String()
	}
	if route.GetImportance() != opsv1.Importance_IMPORTANCE_UNSPECIFIED {
		wire.Importance = conf.Importance(route.GetImportance()).String()
	}
	if route.GetDeadline() != nil {
		wire.Deadline = route.GetDeadline().AsDuration().String()
	}
	return wire
}

func ruleFromProto(rule *opsv1.UpstreamRule) ruleWire {
	wire := ruleWire{
		Name:        rule.GetName(),
		Service:     rule.GetService(),
		Zones:       rule.GetZones(),
		Slots:       int(rule.GetSlots()),
		Connections: int(rule.GetConnections()),
		RequireEcho: rule.GetRequireEcho(),
	}
	if rule.GetWarmUp() != nil {
		wire.WarmUp = rule.GetWarmUp().AsDuration().String()
	}
	if hours := rule.GetHours(); hours != nil {
		wire.Hours = &hoursWire{TimeZone: hours.GetTimeZone()}
		for _, span := range hours.GetSpans() {
			wire.Hours.Spans = append(wire.Hours.Spans, spanWire{Days: span.GetDays(), From: span.GetFrom(), To: span.GetTo()})
		}
	}
	return wire
}

// KeyFromProto converts a resource key from its form in the operators' API.
func KeyFromProto(wire *opsv1.ResourceKey) (conf.Key, error) {
	kind, ok := conf.ParseResourceKind(wire.GetKind())
	if !ok {
		return conf.Key{}, fault.New(fault.InvalidInput, "unknown resource kind %q", wire.GetKind())
	}
	return conf.Key{Kind: kind, Name: wire.GetName()}, nil
}

// EntryToProto converts a timeline entry to its form in the operators' API.
func EntryToProto(entry trace.Entry) *opsv1.TimelineEvent {
	return &opsv1.TimelineEvent{
		Time:      timestamppb.New(entry.Stamp.Wall),
		Logical:   entry.Stamp.Logical,
		Instance:  string(entry.Instance),
		Kind:      entry.Event.Kind.String(),
		RequestId: string(entry.Event.Request),
		Version:   uint64(entry.Event.Version),
		Subject:   string(entry.Event.Subject),
		Detail:    entry.Event.Detail,
	}
}

// EntryFromProto converts a timeline entry from its form in the operators' API.
func EntryFromProto(wire *opsv1.TimelineEvent) trace.Entry {
	kind, _ := trace.ParseKind(wire.GetKind())
	return trace.Entry{
		Stamp:    trace.Stamp{Wall: wire.GetTime().AsTime(), Logical: wire.GetLogical()},
		Instance: types.InstanceID(wire.GetInstance()),
		Event: trace.Event{
			Kind:    kind,
			Request: types.RequestID(wire.GetRequestId()),
			Version: types.Version(wire.GetVersion()),
			Subject: types.InstanceID(wire.GetSubject()),
			Detail:  wire.GetDetail(),
		},
	}
}

// FilterFromProto returns the filter for the timeline entries that a request asks
// for.
func FilterFromProto(wire *opsv1.TimelineRequest) trace.Filter {
	var since time.Time
	if wire.GetSince() != nil {
		since = wire.GetSince().AsTime()
	}
	return trace.Filter{
		Request:  types.RequestID(wire.GetRequestId()),
		Version:  types.Version(wire.GetVersion()),
		Instance: types.InstanceID(wire.GetInstance()),
		Since:    since,
		Limit:    int(wire.GetLimit()),
	}
}
