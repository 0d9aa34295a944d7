// Package bench runs fleets of real processes under open-loop load and
// measures them. Each experiment starts the processes of a layout, compares the
// product with a baseline in interleaved runs, and reports the median, minimum
// and maximum over the runs.
//
// # Usage
//
//	runner := bench.NewRunner(os.Stdout, bench.WithMode(bench.Quick))
//	err := bench.Converge(ctx, runner, bench.Board())
package bench

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

const (
	boardConnections       = 130
	weerasingheConnections = 120
	slotsPerUpstream       = 10
	// scaleServiceSize is the number of upstreams of each service.
	scaleServiceSize = 6
	scaleServices    = 140
	callDeadline     = 500 * time.Millisecond
	longDeadline     = 10 * time.Second
)

// ServiceGroup is a service and its number of upstreams.
type ServiceGroup struct {
	Service   types.ServiceName
	Upstreams int
}

// Location is an availability zone and its region.
type Location struct {
	Zone   types.Zone
	Region types.Region
}

// Layout describes a fleet. Each upstream has its own node.
type Layout struct {
	Name      string
	Locations []Location
	Groups    []ServiceGroup
	// Slots is the number of calls that an upstream processes at the same time.
	Slots       int
	Connections int
	// IdleServices is the number of services without upstreams.
	IdleServices int
	// Latency is the one-way delay between availability zones.
	Latency  time.Duration
	Deadline time.Duration
}

// Board returns the layout of 4 availability zones and 17 upstreams.
func Board() Layout {
	return Layout{
		Name:      "board",
		Locations: locations("bengal-west", "kolkata", "howrah", "haldia", "siliguri"),
		Groups: []ServiceGroup{
			{"job-status", 5}, {"intake", 4}, {"manuals", 4}, {"dispatch", 4},
		},
		Slots:       slotsPerUpstream,
		Connections: boardConnections,
		Latency:     time.Millisecond,
		Deadline:    callDeadline,
	}
}

// Weerasinghe returns the layout of 3 availability zones and 14 upstreams.
func Weerasinghe() Layout {
	return Layout{
		Name:      "weerasinghe",
		Locations: locations("lk-west", "pettah", "moratuwa", "kelaniya"),
		Groups: []ServiceGroup{
			{"stock", 5}, {"orders", 3}, {"patterns", 3}, {"returns", 3},
		},
		Slots:       slotsPerUpstream,
		Connections: weerasingheConnections,
		Latency:     1500 * time.Microsecond,
		Deadline:    callDeadline,
	}
}

// Scale returns a layout of n nodes in 7 availability zones of 2 regions, with
// a configuration of 140 services.
func Scale(n int) Layout {
	layout := Layout{
		Name:        fmt.Sprintf("scale-%d", n),
		Locations:   append(locations("east", "e1", "e2", "e3", "e4"), locations("west", "w1", "w2", "w3")...),
		Slots:       slotsPerUpstream,
		Connections: boardConnections,
		Deadline:    callDeadline,
	}
	for left := n; left > 0; left -= scaleServiceSize {
		name := types.ServiceName(fmt.Sprintf("service-%d", len(layout.Groups)))
		layout.Groups = append(layout.Groups, ServiceGroup{name, min(left, scaleServiceSize)})
	}
	layout.IdleServices = max(0, scaleServices-len(layout.Groups))
	return layout
}

func locations(region types.Region, zones ...types.Zone) []Location {
	list := make([]Location, 0, len(zones))
	for _, zone := range zones {
		list = append(list, Location{Zone: zone, Region: region})
	}
	return list
}

// WithDeadline returns a copy of the layout whose routes have the given deadline.
func (l Layout) WithDeadline(deadline time.Duration) Layout {
	l.Deadline = deadline
	return l
}

// WithLatency returns a copy of the layout with the given one-way delay between
// availability zones.
func (l Layout) WithLatency(latency time.Duration) Layout {
	l.Latency = latency
	return l
}

// Size returns the number of nodes.
func (l Layout) Size() int {
	size := 0
	for _, group := range l.Groups {
		size += group.Upstreams
	}
	return size
}

// WithFirstGroupOnly returns a copy of the layout with only the first group.
func (l Layout) WithFirstGroupOnly() Layout {
	l.Groups = l.Groups[:1]
	return l
}

// Path suffixes that select a route below a service's path prefix.
const (
	// bulkPath selects the route of low importance, whose calls are shed first.
	bulkPath = "/bulk"
	// nonIdempotentPath selects the route of important calls that are not
	// idempotent.
	nonIdempotentPath = "/once"
)

// Config returns the configuration of the layout. Each service has three routes:
// one for important idempotent calls, one for important calls that are not
// idempotent and one for bulk calls.
func (l Layout) Config() conf.Config {
	var config conf.Config
	names := make([]types.ServiceName, 0, len(l.Groups)+l.IdleServices)
	for _, group := range l.Groups {
		names = append(names, group.Service)
	}
	for number := range l.IdleServices {
		names = append(names, types.ServiceName(fmt.Sprintf("idle-%d", number)))
	}
	for _, name := range names {
		config.Services = append(config.Services, conf.Service{Name: name})
		config.Routes = append(config.Routes, l.routes(name)...)
	}
	return config
}

func (l Layout) routes(service types.ServiceName) []conf.Route {
	important := conf.Route{
		Name:       types.RouteName(service),
		Service:    service,
		Match:      conf.Match{PathPrefix: "/" + string(service)},
		Idempotent: true,
		Importance: conf.Critical,
		Deadline:   l.Deadline,
		Hedge:      true,
	}
	bulk := important
	bulk.Name += "-bulk"
	bulk.Match.PathPrefix += bulkPath
	bulk.Importance = conf.Low
	bulk.Hedge = false
	nonIdempotent := important
	nonIdempotent.Name += "-once"
	nonIdempotent.Match.PathPrefix += nonIdempotentPath
	nonIdempotent.Idempotent = false
	nonIdempotent.Hedge = false
	return []conf.Route{important, bulk, nonIdempotent}
}

// smallChange returns a configuration that changes only the deadline of one bulk
// route. Each number gives another deadline and thus a new version.
func (l Layout) smallChange(number int) conf.Config {
	route := l.routes(l.Groups[number%len(l.Groups)].Service)[1]
	route.Deadline = l.Deadline + time.Duration(number+1)*time.Millisecond
	return conf.Config{Routes: []conf.Route{route}}
}
