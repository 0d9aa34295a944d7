package conf

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const (
	maxDeadline   = 10 * time.Minute
	maxSlots      = 100_000
	maxPathPrefix = 1024
	maxSpans      = 64
	maxWeight     = 1_000_000
	maxName       = 63
	maxHost       = 253
)

var (
	methods = types.NewSet("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
)

// Validate checks a configuration. It returns one error that lists everything that
// is invalid.
func Validate(config Config) error { return check(config, false) }

// check validates a configuration. If it was accepted by the platform, the names in it need
// not have the form that this product asks of its operators.
func check(config Config, accepted bool) error {
	c := &checker{accepted: accepted, seen: map[Key]bool{}, services: map[types.ServiceName]bool{}, routesByMatch: map[matchKey][]Route{}}
	for _, service := range config.Services {
		c.checkService(service)
	}
	for _, route := range config.Routes {
		c.checkRoute(route)
		c.checkAmbiguity(route)
	}
	for number, rule := range config.UpstreamRules {
		c.checkRule(rule)
		c.checkOverlap(rule, config.UpstreamRules[:number])
	}
	c.checkTeams(config.Teams)
	c.checkLimits(config.Limits)
	return c.err()
}

// checker collects the validation errors of one configuration.
type checker struct {
	// accepted is true if the platform has accepted the configuration.
	accepted bool
	faults   []string
	seen     map[Key]bool
	services map[types.ServiceName]bool
	// routesByMatch holds the routes checked so far, keyed by their host and path
	// prefix.
	routesByMatch map[matchKey][]Route
}

// matchKey holds the fields that a route matches on, except for the methods.
type matchKey struct{ host, prefix string }

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return fault.New(fault.ConfigRefused, "%s", strings.Join(c.faults, "; "))
}

func (c *checker) checkName(key Key) {
	if key.Name == "" || !c.accepted && !isLabel(key.Name, maxName, "-") {
		c.addFault(key, "name is not kebab case of at most 63 characters")
	}
	if c.seen[key] {
		c.addFault(key, "declared twice")
	}
	c.seen[key] = true
}

func (c *checker) addFault(key Key, reason string) {
	c.faults = append(c.faults, key.Kind.String()+" "+strconv.Quote(key.Name)+": "+reason)
}

func (c *checker) checkService(service Service) {
	c.checkName(Key{ServiceKind, string(service.Name)})
	c.services[service.Name] = true
	if service.MaxConnections < 0 || service.MaxConnections > maxSlots {
		c.addFault(Key{ServiceKind, string(service.Name)}, "connections must be from 0 to "+strconv.Itoa(maxSlots))
	}
}

func (c *checker) checkLimits(limits Limits) {
	if limits.MaxHeaderBytes < 0 || limits.MaxBodyBytes < 0 {
		c.addFault(LimitsKey, "header-bytes and body-bytes must not be below 0")
	}
	if limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		c.addFault(LimitsKey, "header-timeout and idle-timeout must not be below 0")
	}
}

func (c *checker) checkDeclared(key Key, service types.ServiceName) {
	if !c.services[service] {
		c.addFault(key, "service "+strconv.Quote(string(service))+" is not declared")
	}
}

func (c *checker) checkRoute(route Route) {
	key := Key{RouteKind, string(route.Name)}
	c.checkName(key)
	for _, service := range route.Services() {
		c.checkDeclared(key, service)
	}
	c.checkSplit(key, route)
	c.checkMatch(key, route.Match)
	if route.Deadline <= 0 || route.Deadline > maxDeadline {
		c.addFault(key, "deadline must be above 0 and at most "+maxDeadline.String())
	}
	if route.TargetLatency < 0 || route.MaxAttempts < 0 {
		c.addFault(key, "aim and attempts must not be below 0")
	}
	if route.Importance < Low || route.Importance > Critical {
		c.addFault(key, "importance must be low, normal, high or critical")
	}
	if route.Hedge && !route.Idempotent {
		c.addFault(key, "hedge needs an idempotent route")
	}
}

func (c *checker) checkSplit(key Key, route Route) {
	if len(route.Split) == 0 {
		return
	}
	if route.Service != "" {
		c.addFault(key, "has both a service and a split")
	}
	total, seen := 0, map[types.ServiceName]bool{}
	for _, weighted := range route.Split {
		if weighted.Weight < 0 || weighted.Weight > maxWeight {
			c.addFault(key, "weights must be from 0 to "+strconv.Itoa(maxWeight))
		}
		if seen[weighted.Service] {
			c.addFault(key, "the split names service "+strconv.Quote(string(weighted.Service))+" twice")
		}
		seen[weighted.Service] = true
		total += weighted.Weight
	}
	if total <= 0 {
		c.addFault(key, "the weights of the split add up to 0")
	}
}

func (c *checker) checkMatch(key Key, match Match) {
	if match.Host != "" && !c.accepted && !isHost(match.Host) {
		c.addFault(key, "host "+strconv.Quote(match.Host)+" is not a lower-case host name or an IP address")
	}
	switch prefix := match.PathPrefix; {
	case prefix != "" && !strings.HasPrefix(prefix, "/"):
		c.addFault(key, "path-prefix must start with a slash")
	case c.accepted:
	case prefix != "" && !isPath(prefix), strings.ContainsAny(prefix, "?#"), len(prefix) > maxPathPrefix:
		c.addFault(key, "path-prefix must be a path of printable characters, at most "+strconv.Itoa(maxPathPrefix))
	}
	for _, method := range match.Methods.Sorted() {
		if !methods.Has(method) {
			c.addFault(key, "method "+strconv.Quote(method)+" is not one of "+strings.Join(methods.Sorted(), ", "))
		}
	}
}

// checkAmbiguity adds an error for each earlier route that matches some of the same
// requests with the same precedence.
func (c *checker) checkAmbiguity(route Route) {
	key := matchKey{host: route.Match.Host, prefix: route.Match.PathPrefix}
	for _, other := range c.routesByMatch[key] {
		if ambiguousMethods(route.Match.Methods, other.Match.Methods) {
			c.addFault(Key{RouteKind, string(route.Name)}, "matches the same requests as route "+strconv.Quote(string(other.Name)))
		}
	}
	c.routesByMatch[key] = append(c.routesByMatch[key], route)
}

// ambiguousMethods reports whether two routes with the same host and path prefix
// match some request with the same precedence. The arguments a and b are their
// methods; an empty set matches any method. The routes are ambiguous if both
// match any method or if they have a method in common. If only one of them lists
// methods, that route takes precedence.
func ambiguousMethods(a, b types.Set[string]) bool {
	if a.Len() == 0 || b.Len() == 0 {
		return a.Len() == b.Len()
	}
	return slices.ContainsFunc(a.Sorted(), b.Has)
}

func (c *checker) checkRule(rule UpstreamRule) {
	key := Key{UpstreamRuleKind, string(rule.Name)}
	c.checkName(key)
	c.checkDeclared(key, rule.Service)
	for _, zone := range rule.Zones.Sorted() {
		if zone == "" {
			c.addFault(key, "a zone has no name")
		}
	}
	if rule.MaxSlots < 0 || rule.MaxSlots > maxSlots || rule.MaxConnections < 0 || rule.MaxConnections > maxSlots {
		c.addFault(key, "slots and connections must be from 0 to "+strconv.Itoa(maxSlots))
	}
	if rule.WarmUp < 0 || rule.WarmUp > maxDeadline {
		c.addFault(key, "warm-up must be from 0 to "+maxDeadline.String())
	}
	if hours, ok := rule.Hours.Get(); ok {
		c.checkHours(key, hours)
	}
}

// checkOverlap adds an error for each earlier rule that applies to the same service
// in the same zone.
func (c *checker) checkOverlap(rule UpstreamRule, earlier []UpstreamRule) {
	for _, other := range earlier {
		if other.Service != rule.Service {
			continue
		}
		if rule.Zones.Len() == 0 || other.Zones.Len() == 0 || slices.ContainsFunc(rule.Zones.Sorted(), other.Zones.Has) {
			c.addFault(Key{UpstreamRuleKind, string(rule.Name)}, "covers a zone of service "+strconv.Quote(string(rule.Service))+
				" that upstream-rule "+strconv.Quote(string(other.Name))+" covers")
		}
	}
}

func (c *checker) checkHours(key Key, hours Hours) {
	if hours.Location == nil {
		c.addFault(key, "time-zone "+strconv.Quote(hours.TimeZone)+" is not known")
	}
	if len(hours.Spans) == 0 || len(hours.Spans) > maxSpans {
		c.addFault(key, "hours need from 1 to "+strconv.Itoa(maxSpans)+" spans")
	}
	for _, span := range hours.Spans {
		c.checkSpan(key, span)
	}
}

func (c *checker) checkSpan(key Key, span Span) {
	if span.From < 0 || span.To < 0 || time.Duration(span.From) >= day || time.Duration(span.To) > day {
		c.addFault(key, "a span must start between 00:00 and 23:59 and end between 00:00 and 24:00")
	}
	if span.From%TimeOfDay(time.Minute) != 0 || span.To%TimeOfDay(time.Minute) != 0 {
		c.addFault(key, "a span must start and end on a full minute")
	}
	days := slices.Clone(span.Days)
	slices.Sort(days)
	if len(slices.Compact(days)) != len(span.Days) {
		c.addFault(key, "a span names a day twice")
	}
}

func isHost(host string) bool {
	if isLabel(host, maxHost, ".-") {
		return true
	}
	_, err := netip.ParseAddr(host)
	return err == nil && host == strings.ToLower(host)
}

// isLabel reports whether a text has at most limit characters, which are lower case
// letters, digits and, except at its ends, characters of inner.
func isLabel(text string, limit int, inner string) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for i := range len(text) {
		char := text[i]
		if 'a' <= char && char <= 'z' || '0' <= char && char <= '9' {
			continue
		}
		if i == 0 || i == len(text)-1 || strings.IndexByte(inner, char) < 0 {
			return false
		}
	}
	return true
}

// isPath reports whether a text begins with a slash and consists of printable ASCII
// characters without spaces.
func isPath(text string) bool {
	for i := range len(text) {
		if text[i] < '!' || text[i] > '~' {
			return false
		}
	}
	return strings.HasPrefix(text, "/")
}
