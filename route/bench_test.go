package route_test

import (
	"fmt"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

const (
	benchServices = 140
	benchRoutes   = 500
)

// manyRoutes returns a snapshot of benchServices services and benchRoutes routes.
func manyRoutes(tb testing.TB) conf.Snapshot {
	tb.Helper()
	var config conf.Config
	for number := range benchServices {
		config.Services = append(config.Services, conf.Service{Name: types.ServiceName(fmt.Sprintf("s%d", number))})
	}
	for number := range benchRoutes {
		service := number % benchServices
		config.Routes = append(config.Routes, conf.Route{
			Name:       types.RouteName(fmt.Sprintf("r%d", number)),
			Service:    config.Services[service].Name,
			Match:      conf.Match{PathPrefix: fmt.Sprintf("/s%d/part%d", service, number/benchServices)},
			Importance: conf.Normal,
			Deadline:   time.Second,
		})
	}
	snapshot, err := conf.NewSnapshot(conf.Root{Version: 1}, "", config, conf.Bundle{})
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot
}

func BenchmarkMatch(b *testing.B) {
	table := route.NewTable(manyRoutes(b))
	request := route.Request{Method: "GET", Host: "mesh.example:8080", Path: "/s93/part2/items/17"}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match(request); !ok {
			b.Fatal("no route")
		}
	}
}
