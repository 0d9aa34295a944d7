package conf

import (
	"regexp"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const (
	maxDeadline = 10 * time.Minute
	maxSlots    = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate returns one error that names each fault of a configuration.
func Validate(config Config) error {
	check := &checker{seen: map[Key]bool{}, services: map[types.ServiceName]bool{}}
	for _, service := range config.Services {
		check.service(service)
	}
	for _, route := range config.Routes {
		check.route(route)
	}
	for _, rule := range config.Rules {
		check.rule(rule)
	}
	return check.err()
}

type checker struct {
	faults   []string
	seen     map[Key]bool
	services map[types.ServiceName]bool
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return fault.New(fault.ConfigRefused, "%s", strings.Join(c.faults, "; "))
}

func (c *checker) name(key Key) {
	if !namePattern.MatchString(key.Name) {
		c.faults = append(c.faults, key.Kind.String()+" "+quote(key.Name)+": name is not kebab case of at most 63 characters")
	}
	if c.seen[key] {
		c.faults = append(c.faults, key.Kind.String()+" "+quote(key.Name)+": declared twice")
	}
	c.seen[key] = true
}

func (c *checker) fault(key Key, reason string) {
	c.faults = append(c.faults, key.Kind.String()+" "+quote(key.Name)+": "+reason)
}

func (c *checker) service(service Service) {
	c.name(Key{ServiceKind, string(service.Name)})
	c.services[service.Name] = true
}

func (c *checker) reference(key Key, service types.ServiceName) {
	if !c.services[service] {
		c.fault(key, "service "+quote(string(service))+" is not declared")
	}
}

func (c *checker) route(route Route) {
	key := Key{RouteKind, string(route.Name)}
	c.name(key)
	c.reference(key, route.Service)
	if route.Match.PathPrefix != "" && !strings.HasPrefix(route.Match.PathPrefix, "/") {
		c.fault(key, "path-prefix must start with a slash")
	}
	if route.Deadline <= 0 || route.Deadline > maxDeadline {
		c.fault(key, "deadline must be above 0 and at most "+maxDeadline.String())
	}
	if route.Importance < Low || route.Importance > Critical {
		c.fault(key, "importance must be low, normal, high or critical")
	}
	if route.Hedge && !route.Idempotent {
		c.fault(key, "hedge needs an idempotent route")
	}
}

func (c *checker) rule(rule UpstreamRule) {
	key := Key{UpstreamRuleKind, string(rule.Name)}
	c.name(key)
	c.reference(key, rule.Service)
	if rule.Slots < 0 || rule.Slots > maxSlots || rule.Connections < 0 || rule.Connections > maxSlots {
		c.fault(key, "slots and connections must be from 0 to 100000")
	}
	if rule.WarmUp < 0 || rule.WarmUp > maxDeadline {
		c.fault(key, "warm-up must be from 0 to "+maxDeadline.String())
	}
	if hours, ok := rule.Hours.Get(); ok {
		c.hours(key, hours)
	}
}

func (c *checker) hours(key Key, hours Hours) {
	if hours.Location == nil {
		c.fault(key, "time-zone "+quote(hours.TimeZone)+" is not known")
	}
	if len(hours.Spans) == 0 {
		c.fault(key, "hours need at least one span")
	}
	for _, span := range hours.Spans {
		if span.From < 0 || span.To < 0 || time.Duration(span.From) > day || time.Duration(span.To) > day {
			c.fault(key, "a span must lie between 00:00 and 24:00")
		}
	}
}

const day = 24 * time.Hour

func quote(text string) string { return `"` + text + `"` }
