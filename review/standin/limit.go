package main

import (
	"fmt"
	"time"
)

// limitCase changes the configuration so that a tenant has no limit to its rate any more,
// while its burst stays as it was. The same version adds a route and withdraws a key.
func limitCase(rc *recorder, trouble bool) ([]string, error) {
	const apply = 2500 * time.Millisecond
	status := []any{"r-status", "status.example", "/status/", "idempotent", 1000, 400, 1, "orderdesk", 2, false, nil}
	added := []any{"r-added", "status.example", "/added/", "idempotent", 1000, 400, 1, "orderdesk", 2, false, nil}
	tenants := func(rate any, keys ...string) *table {
		return &table{Columns: []string{"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}, Rows: [][]any{
			{"north", []string{"key-north"}, nil, rate, 30}, {"south", keys, nil, 40, 20},
		}}
	}
	cf := newConfig(7, []string{"orderdesk", "picklist"}, status)
	cf.Tenants = tenants(50, "key-south-1", "key-south-2")
	lb, err := newLab(rc, trouble, cf,
		place{"south-a", "orderdesk", 100}, place{"south-a", "picklist", 100}, place{"south-b", "orderdesk", 100}, place{"south-b", "picklist", 100})
	defer lb.close()
	if err != nil {
		return nil, err
	}
	get := func(mc *machine, path, key string) attempt {
		return lb.send(mc, call{method: "GET", host: "status.example", path: path, key: key, deadline: time.Second})
	}
	for _, mc := range lb.machines {
		if at := get(mc, "/status/20/500", "key-north"); at.status != 200 {
			return nil, fmt.Errorf("the first configuration is not served: %s", at.describe())
		}
	}
	cf = newConfig(12, []string{"orderdesk", "picklist"}, status, added)
	rate := any(50)
	if trouble {
		rate = 0
	}
	cf.Tenants = tenants(rate, "key-south-1")
	acknowledged := lb.store.put("config", "main", cf)
	rc.note("the store acknowledges version 0000000c; RatePerS of north is %v", rate)
	time.Sleep(2 * apply)
	var broken []string
	for round := range 5 {
		for _, mc := range lb.machines {
			since := time.Since(acknowledged).Milliseconds()
			if at := get(mc, "/added/20/500", "key-north"); at.status == 404 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s on the added route, sent %d ms after the acknowledgement, is refused with 404 by %s", at.id, since, mc.name))
			}
			since = time.Since(acknowledged).Milliseconds()
			if at := get(mc, "/status/20/500", "key-south-2"); len(lb.runsOf(at.id)) > 0 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s with the withdrawn key, sent %d ms after the acknowledgement by %s, is run", at.id, since, mc.name))
			}
		}
		if round < 4 {
			time.Sleep(2 * time.Second)
		}
	}
	return broken, nil
}
