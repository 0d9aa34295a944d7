package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// parseMicros returns a number of microseconds, or 0 if text is missing or invalid.
func parseMicros(text string) time.Duration {
	micros, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(min(max(0, micros), maxMicros)) * time.Microsecond
}

// formatPair formats two durations in microseconds.
func formatPair(first, second time.Duration) string {
	return formatMicros(first) + "/" + formatMicros(second)
}

// parsePair parses what formatPair formats, or returns false if text is missing or is no
// pair.
func parsePair(text string) (first, second time.Duration, ok bool) {
	before, after, ok := strings.Cut(text, "/")
	return parseMicros(before), parseMicros(after), ok
}

// writeLoad writes the load of the owner's upstream to the headers of a reply. Values
// that are 0 are left out, but for the work left, which is missing if it is not known.
func writeLoad(header http.Header, load route.Load) {
	if load.Outstanding > 0 {
		header.Set(headerOutstanding, strconv.Itoa(load.Outstanding))
	}
	if load.Queued > 0 {
		header.Set(headerQueued, strconv.Itoa(load.Queued))
	}
	if load.LinkWait > 0 {
		header.Set(headerLinkWait, formatMicros(load.LinkWait))
	}
	if load.RateWait > 0 {
		header.Set(headerRateWait, formatMicros(load.RateWait))
	}
	if load.FaultShare > 0 {
		header.Set(headerFaultShare, strconv.FormatFloat(load.FaultShare, 'f', 3, 64))
	}
	if left, known := load.Left.Get(); known {
		header.Set(headerWorkLeft, formatPair(left.SlotWait, left.Drain))
	}
}

// parseLeft reads the work that the owner's upstream still has to do, or none if the
// owner does not report it.
func parseLeft(header http.Header) types.Option[route.WorkLeft] {
	wait, drain, known := parsePair(header.Get(headerWorkLeft))
	if !known {
		return types.None[route.WorkLeft]()
	}
	return types.Some(route.WorkLeft{SlotWait: wait, Drain: drain})
}

// parseLoad reads the load of an owner's upstream from the headers of a reply.
// Values that are missing or invalid count as 0.
func parseLoad(header http.Header) route.Load {
	outstanding, _ := strconv.Atoi(header.Get(headerOutstanding))
	queued, _ := strconv.Atoi(header.Get(headerQueued))
	linkWait, _ := strconv.ParseInt(header.Get(headerLinkWait), 10, 64)
	rateWait, _ := strconv.ParseInt(header.Get(headerRateWait), 10, 64)
	faults, _ := strconv.ParseFloat(header.Get(headerFaultShare), 64)
	return route.Load{
		FaultShare:  min(max(0, faults), 1),
		Outstanding: max(0, outstanding),
		Queued:      max(0, queued),
		LinkWait:    time.Duration(max(0, linkWait)) * time.Microsecond,
		RateWait:    time.Duration(max(0, rateWait)) * time.Microsecond,
		Left:        parseLeft(header),
	}
}
