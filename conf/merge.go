package conf

// Merge returns a copy of the configuration without the resources whose keys are
// in remove. The resources in updates are added, or replace those with the same
// key, even if remove contains the key. A configuration whose last team is removed goes on to
// require keys, unless remove contains AccessKey.
func (c Config) Merge(updates Config, remove []Key) Config {
	removed := map[Key]bool{}
	for _, key := range remove {
		removed[key] = true
	}
	limits := c.Limits
	if removed[LimitsKey] {
		limits = Limits{}
	}
	if updates.Limits != (Limits{}) {
		limits = updates.Limits
	}
	teams := merge(c.Teams, updates.Teams, removed, func(t Team) Key { return Key{TeamKind, string(t.Name)} })
	required := c.RequireKeys || len(c.Teams) > 0 && len(teams) == 0
	return Config{
		RequireKeys:   updates.RequireKeys || required && !removed[AccessKey],
		Limits:        limits,
		Services:      merge(c.Services, updates.Services, removed, func(s Service) Key { return Key{ServiceKind, string(s.Name)} }),
		Routes:        merge(c.Routes, updates.Routes, removed, func(r Route) Key { return Key{RouteKind, string(r.Name)} }),
		UpstreamRules: merge(c.UpstreamRules, updates.UpstreamRules, removed, func(r UpstreamRule) Key { return Key{UpstreamRuleKind, string(r.Name)} }),
		Teams:         teams,
	}
}

func merge[T any](old, updates []T, removed map[Key]bool, key func(T) Key) []T {
	var merged []T
	replaced := map[Key]bool{}
	for _, item := range updates {
		replaced[key(item)] = true
	}
	for _, item := range old {
		if !removed[key(item)] && !replaced[key(item)] {
			merged = append(merged, item)
		}
	}
	return append(merged, updates...)
}
