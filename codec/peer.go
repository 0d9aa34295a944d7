package codec

import (
	"math"
	"strconv"
	"time"

	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxMembers is the maximum number of member records in one message. The same
	// limit applies to the version reports in a message.
	maxMembers    = 10_000
	maxNameLength = fleet.MaxNameLength
	// maxDeclaredLength is the maximum length of a name that a configuration declares, in
	// bytes. The platform bounds no name, only the whole configuration.
	maxDeclaredLength = 1 << 20
	maxWarmUp         = time.Hour
)

// MessageToProto converts a gossip message and the reading of the sender's clock
// to their protobuf form.
func MessageToProto(message fleet.Message, stamp trace.Stamp) *peerv1.Message {
	wire := &peerv1.Message{
		From:        string(message.From),
		Incarnation: message.Incarnation,
		Version:     uint64(message.Version),
		Digest:      string(message.Digest),
		View:        message.ViewHash,
		Full:        message.Full,
		Stamp:       &peerv1.Stamp{WallMicros: stamp.Wall.UnixMicro(), Logical: stamp.Logical},
		Buckets:     message.BucketHashes,
		HeldBuckets: message.HeldBucketHashes,
		HeldView:    message.HeldHash,
		Repair:      message.Repair,
		Prompt:      message.Prompt,
		Blame:       blameToProto(message.Blame),
	}
	for _, report := range message.Reports {
		wire.Reports = append(wire.Reports, &peerv1.Report{Instance: string(report.ID), Held: uint64(report.HeldVersion)})
	}
	for _, member := range message.Members {
		wire.Members = append(wire.Members, memberToProto(member))
	}
	wire.Rollouts = rolloutsToProto(message.Rollouts)
	if report, ok := message.RootRead.Get(); ok {
		wire.RootRead = &peerv1.RootReport{Reader: string(report.Reader), AgeMillis: uint32(min(max(report.Age.Milliseconds(), 0), math.MaxUint32))}
	}
	return wire
}

// rootReportFromProto returns the report of a read, or none if the message has none.
func rootReportFromProto(wire *peerv1.RootReport) (types.Option[fleet.RootReport], error) {
	if wire == nil {
		return types.None[fleet.RootReport](), nil
	}
	if wire.GetReader() == "" || len(wire.GetReader()) > maxNameLength {
		return types.None[fleet.RootReport](), fault.New(fault.InvalidInput, "peer message: the reader's name is missing or too long")
	}
	age := time.Duration(wire.GetAgeMillis()) * time.Millisecond
	return types.Some(fleet.RootReport{Reader: types.InstanceID(wire.GetReader()), Age: age}), nil
}

// MessageFromProto converts a gossip message and the reading of the sender's
// clock from their protobuf form. It returns an error if the message is invalid.
func MessageFromProto(wire *peerv1.Message) (fleet.Message, trace.Stamp, error) {
	if wire.GetFrom() == "" || len(wire.GetFrom()) > maxNameLength {
		return fleet.Message{}, trace.Stamp{}, fault.New(fault.InvalidInput, "peer message: the sender's name is missing or too long")
	}
	if len(wire.GetMembers()) > maxMembers || len(wire.GetReports()) > maxMembers {
		return fleet.Message{}, trace.Stamp{}, fault.New(fault.InvalidInput, "peer message: more than %d members", maxMembers)
	}
	message := fleet.Message{
		From:             types.InstanceID(wire.GetFrom()),
		Incarnation:      wire.GetIncarnation(),
		Version:          types.Version(wire.GetVersion()),
		Digest:           types.Hash(wire.GetDigest()),
		ViewHash:         wire.GetView(),
		Full:             wire.GetFull(),
		BucketHashes:     wire.GetBuckets(),
		HeldBucketHashes: wire.GetHeldBuckets(),
		HeldHash:         wire.GetHeldView(),
		Repair:           wire.GetRepair(),
		Prompt:           wire.GetPrompt(),
	}
	for _, item := range wire.GetReports() {
		message.Reports = append(message.Reports, fleet.VersionReport{ID: types.InstanceID(item.GetInstance()), HeldVersion: types.Version(item.GetHeld())})
	}
	for _, item := range wire.GetMembers() {
		member, err := memberFromProto(item)
		if err != nil {
			return fleet.Message{}, trace.Stamp{}, err
		}
		message.Members = append(message.Members, member)
	}
	var err error
	if message.Blame, err = blameFromProto(wire.GetBlame()); err != nil {
		return fleet.Message{}, trace.Stamp{}, err
	}
	if message.Rollouts, err = rolloutsFromProto(wire.GetRollouts()); err != nil {
		return fleet.Message{}, trace.Stamp{}, err
	}
	if message.RootRead, err = rootReportFromProto(wire.GetRootRead()); err != nil {
		return fleet.Message{}, trace.Stamp{}, err
	}
	stamp := trace.Stamp{Wall: time.UnixMicro(wire.GetStamp().GetWallMicros()), Logical: wire.GetStamp().GetLogical()}
	return message, stamp, nil
}

func memberToProto(member fleet.Member) *peerv1.Member {
	wire := &peerv1.Member{
		Instance:    string(member.ID),
		Incarnation: member.Incarnation,
		State:       peerv1.MemberState(member.Status),
		Address:     string(member.Address),
		Zone:        string(member.Zone),
		Region:      string(member.Region),
		Service:     string(member.Service),
		Held:        uint64(member.HeldVersion),
		Leaving:     member.Leaving,
		Detached:    member.Detached,
		GoneMillis:  member.GoneFor.Milliseconds(),
	}
	if !member.StartedAt.IsZero() {
		wire.StartedMillis = member.StartedAt.UnixMilli()
	}
	if departure, ok := member.Departure.Get(); ok {
		wire.Departure = departureToProto(departure)
	}
	if upstream, ok := member.Upstream.Get(); ok {
		wire.Upstream = &peerv1.Upstream{
			Slots:         uint32(upstream.Slots),
			Connections:   uint32(upstream.Connections),
			WarmUpMillis:  upstream.WarmUp.Milliseconds(),
			ReadyAtMillis: upstream.ReadyAt.UnixMilli(),
			Leaving:       upstream.Leaving,
			Version:       string(upstream.Version),
		}
	}
	return wire
}

func memberFromProto(wire *peerv1.Member) (fleet.Member, error) {
	status := fleet.Status(wire.GetState())
	if status < fleet.Alive || status > fleet.Left {
		return fleet.Member{}, fault.New(fault.InvalidInput, "peer message: member %q has the unknown state %d", wire.GetInstance(), wire.GetState())
	}
	if wire.GetInstance() == "" || len(wire.GetInstance()) > maxNameLength {
		return fleet.Member{}, fault.New(fault.InvalidInput, "peer message: a member's name is missing or too long")
	}
	member := fleet.Member{
		ID:          types.InstanceID(wire.GetInstance()),
		Incarnation: wire.GetIncarnation(),
		Status:      status,
		Address:     types.Address(wire.GetAddress()),
		Zone:        types.Zone(wire.GetZone()),
		Region:      types.Region(wire.GetRegion()),
		Service:     types.ServiceName(wire.GetService()),
		HeldVersion: types.Version(wire.GetHeld()),
		Leaving:     wire.GetLeaving(),
		Detached:    wire.GetDetached(),
		GoneFor:     time.Duration(max(0, wire.GetGoneMillis())) * time.Millisecond,
	}
	if millis := wire.GetStartedMillis(); millis != 0 {
		member.StartedAt = time.UnixMilli(millis)
	}
	if departure := wire.GetDeparture(); departure != nil {
		if len(departure.GetProcess()) > maxNameLength {
			return fleet.Member{}, fault.New(fault.InvalidInput, "peer message: the name of a process of member %q is too long", wire.GetInstance())
		}
		member.Departure = types.Some(departureFromProto(departure))
	}
	if upstream := wire.GetUpstream(); upstream != nil {
		if len(upstream.GetVersion()) > maxNameLength {
			return fleet.Member{}, fault.New(fault.InvalidInput, "peer message: the upstream's version of member %q is too long", wire.GetInstance())
		}
		member.Upstream = types.Some(fleet.Upstream{
			Slots:       int(upstream.GetSlots()),
			Connections: int(upstream.GetConnections()),
			WarmUp:      warmUpFromProto(upstream.GetWarmUpMillis()),
			ReadyAt:     time.UnixMilli(upstream.GetReadyAtMillis()),
			Leaving:     upstream.GetLeaving(),
			Version:     types.UpstreamVersion(upstream.GetVersion()),
		})
	}
	return member, nil
}

func departureToProto(departure fleet.Departure) *peerv1.Departure {
	wire := &peerv1.Departure{Process: string(departure.Process), Sequence: departure.Sequence, Ended: departure.Ended}
	if !departure.StartedAt.IsZero() {
		wire.StartedMillis = departure.StartedAt.UnixMilli()
	}
	return wire
}

func departureFromProto(wire *peerv1.Departure) fleet.Departure {
	departure := fleet.Departure{Process: types.ProcessID(wire.GetProcess()), Sequence: wire.GetSequence(), Ended: wire.GetEnded()}
	if millis := wire.GetStartedMillis(); millis != 0 {
		departure.StartedAt = time.UnixMilli(millis).UTC()
	}
	return departure
}

// warmUpFromProto limits the warm-up time that a peer reports for an upstream to the
// range from 0 to maxWarmUp.
func warmUpFromProto(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxWarmUp.Milliseconds())) * time.Millisecond
}

// HashPrefix returns the first eight bytes of a hexadecimal hash as a number, or 0 if
// the hash is not hexadecimal.
func HashPrefix(hash types.Hash) uint64 {
	const digits = 16
	prefix, err := strconv.ParseUint(string(hash[:min(digits, len(hash))]), 16, 64)
	if err != nil {
		return 0
	}
	return prefix
}

// BundleToProto converts a bundle to the response of the Pull RPC. The argument
// held contains the hash prefixes of the bodies that the requesting node already
// has. The response omits these bodies.
func BundleToProto(bundle conf.Bundle, held types.Set[uint64]) *peerv1.PullResponse {
	wire := &peerv1.PullResponse{Root: bundle.RootBody, Bodies: map[string][]byte{}}
	for hash, body := range bundle.Bodies {
		if !held.Has(HashPrefix(hash)) {
			wire.Bodies[string(hash)] = body
		}
	}
	return wire
}

// BundleFromProto converts the response of the Pull RPC to a bundle. The argument
// held is the bundle that this node has, from which BundleFromProto takes the
// bodies that the response omits.
func BundleFromProto(wire *peerv1.PullResponse, held conf.Bundle) conf.Bundle {
	bundle := conf.Bundle{RootBody: wire.GetRoot(), Bodies: map[types.Hash][]byte{}}
	for hash, body := range wire.GetBodies() {
		bundle.Bodies[types.Hash(hash)] = body
	}
	return FillBundle(bundle, held)
}

// FillBundle adds the bodies that the bundle's root refers to but the bundle
// lacks, as far as held contains them. A bundle with an invalid root stays
// unchanged.
func FillBundle(bundle, held conf.Bundle) conf.Bundle {
	root, err := ReadRoot(bundle.RootBody)
	if err != nil {
		return bundle
	}
	for _, entry := range root.Entries {
		body, ok := held.Bodies[entry.Hash]
		if _, present := bundle.Bodies[entry.Hash]; ok && !present {
			bundle.Bodies[entry.Hash] = body
		}
	}
	return bundle
}
