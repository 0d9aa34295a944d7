package bench

import (
	"context"
	"time"
)

const (
	kilobyte = 1e3
	megabyte = 1e6
	percent  = 100
	// trafficTarget is in KB per second and node.
	trafficTarget = 22
	// cpuTarget is in percent of a core per node.
	cpuTarget = 3.4
	// memoryTarget is in MB per node.
	memoryTarget   = 128
	changeInterval = time.Second
	changesPerDay  = 490
	daySeconds     = 86400
)

// ControlOverhead measures the resource usage of the nodes while they serve no
// calls: without configuration changes and at one change per second.
func ControlOverhead(ctx context.Context, runner *Runner, layout Layout) error {
	sh := newSheet("control", layout)
	window := runner.duration(2*time.Second, 30*time.Second)
	err := runner.compare(ctx, layout, []Variant{Product, AllNodesWatch}, func(run int, ft *Fleet) error {
		idle, err := ft.measureWindow(ctx, window, nil)
		if err != nil {
			return err
		}
		changing, err := ft.measureWindow(ctx, window, func() error {
			_, err := ft.applyChanges(ctx, run*int(window/changeInterval), int(window/changeInterval), changeInterval)
			return err
		})
		if err != nil {
			return err
		}
		idle.add(sh, ft.Variant, "idle")
		changing.add(sh, ft.Variant, "a change a second")
		idle.atTypicalDay(changing).add(sh, ft.Variant, typicalDay)
		return nil
	})
	if err != nil {
		return err
	}
	sh.setTarget("bytes in and out, "+typicalDay, AtMost(trafficTarget))
	sh.setTarget("processor, "+typicalDay, AtMost(cpuTarget))
	sh.setTarget("memory, "+typicalDay, AtMost(memoryTarget))
	return runner.report(sh)
}

// typicalDay labels the figures that are computed for the number of configuration
// changes on a typical day, changesPerDay.
const typicalDay = "490 changes a day"

// atTypicalDay returns the usage at changesPerDay configuration changes a day, by
// linear interpolation between the idle usage rt and changing, the usage at one
// change per second. ResidentBytes and PlatformWatches are not interpolated but
// taken from changing.
func (rt Rates) atTypicalDay(changing Rates) Rates {
	between := func(idle, busy float64) float64 {
		return idle + max(0, busy-idle)*changesPerDay/daySeconds
	}
	return Rates{
		CPU:             between(rt.CPU, changing.CPU),
		ResidentBytes:   changing.ResidentBytes,
		BytesRead:       between(rt.BytesRead, changing.BytesRead),
		BytesWritten:    between(rt.BytesWritten, changing.BytesWritten),
		Exchanges:       between(rt.Exchanges, changing.Exchanges),
		PlatformCalls:   between(rt.PlatformCalls, changing.PlatformCalls),
		PlatformWatches: changing.PlatformWatches,
	}
}

// add adds the rates of one run to the sheet.
func (rt Rates) add(sh *sheet, variant Variant, state string) {
	sh.add(variant, "bytes in and out, "+state, "KB/s per node", (rt.BytesRead+rt.BytesWritten)/kilobyte)
	sh.add(variant, "processor, "+state, "% of a core per node", percent*rt.CPU)
	sh.add(variant, "memory, "+state, "MB per node", rt.ResidentBytes/megabyte)
	sh.add(variant, "exchanges, "+state, "per s and node", rt.Exchanges)
	sh.add(variant, "platform calls, "+state, "per s, all nodes", rt.PlatformCalls)
	sh.add(variant, "watches opened so far, "+state, "count", rt.PlatformWatches)
}

// measureWindow measures the usage of all nodes for at least the given time. If
// work is not nil, measureWindow runs it during the measurement and ends the
// measurement only after work has returned.
func (ft *Fleet) measureWindow(ctx context.Context, span time.Duration, work func() error) (Rates, error) {
	exchanges, err := ft.exchangesSent()
	if err != nil {
		return Rates{}, err
	}
	sleep(ctx, changePause)
	from, err := ft.readUsage(false)
	if err != nil {
		return Rates{}, err
	}
	until := from.Time.Add(span)
	if work != nil {
		if err := work(); err != nil {
			return Rates{}, err
		}
	}
	sleep(ctx, time.Until(until))
	to, err := ft.readUsage(false)
	if err != nil {
		return Rates{}, err
	}
	now, err := ft.exchangesSent()
	used := rates(from, to)
	used.Exchanges = (now - exchanges) / (to.Time.Sub(from.Time) + changePause).Seconds() / float64(to.Nodes)
	used.PlatformCalls = float64(to.Platform.Reads+to.Platform.Writes-from.Platform.Reads-from.Platform.Writes) / to.Time.Sub(from.Time).Seconds()
	return used, err
}

// exchangesSentMetric counts the membership messages that a node has sent.
const exchangesSentMetric = "sequoiamill_exchanges_sent_total"

func (ft *Fleet) exchangesSent() (float64, error) {
	reading, err := ft.readUsage(true)
	return reading.Metrics.Values[exchangesSentMetric], err
}
