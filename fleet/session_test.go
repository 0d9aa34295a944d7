package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// session runs the commands of one testdata script against a table.
type session struct {
	t     *testing.T
	table *fleet.Table
	now   time.Time
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		ss := &session{t: t, now: epoch}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return ss.run(d) })
	})
}

func argOr(d *datadriven.TestData, key, defaultValue string) string {
	for _, found := range d.CmdArgs {
		if found.Key == key && len(found.Vals) > 0 {
			return found.Vals[0]
		}
	}
	return defaultValue
}

func (ss *session) run(d *datadriven.TestData) string {
	peer, address := types.InstanceID(argOr(d, "peer", "")), types.Address(argOr(d, "peer", "")+":1")
	var version types.Version
	_, _ = fmt.Sscan(argOr(d, "version", "0"), &version)
	var effects []types.Effect
	switch d.Cmd {
	case "new":
		self := fleet.Member{ID: "a", Incarnation: 5, Address: "a:1", Zone: "kolkata", StartedAt: epoch}
		ss.table = fleet.NewTable(self, rand.New(rand.NewPCG(1, 2)))
	case "tick":
		effects = ss.tick(argOr(d, "for", "100ms"))
	case "received":
		effects = ss.table.HandleExchangeReceived(fleet.ExchangeReceived{Message: ss.message(d, peer, version)}, ss.now)
	case "answered":
		event := fleet.ExchangeAnswered{Peer: peer, Address: address, Epoch: ss.table.Epoch(), Message: ss.message(d, peer, version)}
		effects = ss.table.HandleExchangeAnswered(event, ss.now)
	case "failed":
		effects = ss.table.HandleExchangeFailed(fleet.ExchangeFailed{Peer: peer, Address: address}, ss.now)
	case "probed":
		via := types.InstanceID(argOr(d, "via", ""))
		effects = ss.table.HandleIndirectProbeEnded(fleet.IndirectProbeEnded{Peer: peer, Via: via, Reached: d.HasArg("reached")}, ss.now)
	case "pulled":
		effects = ss.table.HandlePullEnded(fleet.PullEnded{Peer: peer, Version: version}, ss.now)
	case "hold":
		ss.table.SetVersion(version, "digest", false, ss.now)
	case "rejoin":
		ss.table.Rejoin(ss.now)
	case "root":
		ss.table.RootRead(ss.table.Epoch())
	case "seeds":
		ss.table.AddSeeds(fleet.SeedsFound{Addresses: []types.Address{address}})
	case "show":
		return ss.show()
	default:
		d.Fatalf(ss.t, "unknown command %s", d.Cmd)
	}
	return describe(effects)
}

// tick moves the time forward and returns all effects except regular probes. A
// regular probe is an exchange with a known peer whose message carries only the
// sender's own record.
func (ss *session) tick(text string) []types.Effect {
	duration, err := time.ParseDuration(text)
	if err != nil {
		ss.t.Fatal(err)
	}
	var effects []types.Effect
	for end := ss.now.Add(duration); ss.now.Before(end); {
		ss.now = ss.now.Add(tick)
		for _, effect := range ss.table.Tick(ss.now) {
			if sent, ok := effect.(fleet.SendExchange); !ok || sent.Peer == "" || len(sent.Message.Members) > 1 {
				effects = append(effects, effect)
			}
		}
	}
	return effects
}

// message parses a gossip message from the command's input. Each line is one
// record: the instance ID, state and incarnation, then any of started=10s, held=3,
// service=status, gone=3h and leaving.
func (ss *session) message(d *datadriven.TestData, from types.InstanceID, version types.Version) fleet.Message {
	message := fleet.Message{From: from, Version: version, Full: d.HasArg("full")}
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		member := fleet.Member{ID: types.InstanceID(fields[0]), Address: types.Address(fields[0] + ":1"), Zone: "kolkata", StartedAt: epoch}
		for status := fleet.Alive; status <= fleet.Left; status++ {
			if status.String() == fields[1] {
				member.Status = status
			}
		}
		_, _ = fmt.Sscan(fields[2], &member.Incarnation)
		for _, field := range fields[3:] {
			key, value, _ := strings.Cut(field, "=")
			switch key {
			case "started":
				started, _ := time.ParseDuration(value)
				member.StartedAt = epoch.Add(started)
				member.Address = types.Address(fmt.Sprintf("%s:%d", member.ID, 1+int(started.Seconds())))
			case "held":
				_, _ = fmt.Sscan(value, &member.HeldVersion)
			case "gone":
				member.GoneFor, _ = time.ParseDuration(value)
			case "service":
				member = member.WithUpstream(types.ServiceName(value), types.Some(fleet.Upstream{Slots: 10}))
			case "leaving":
				member = member.WithLeaving()
			}
		}
		message.Members = append(message.Members, member)
	}
	return message
}

func (ss *session) show() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s joined=%v delegate=%v\n", ss.now.Sub(epoch), ss.table.Joined(), ss.table.IsDelegate())
	for _, member := range ss.table.Members() {
		fmt.Fprintf(&out, "%s %s held=%d takes-work=%v\n", record(member), member.Address, member.HeldVersion, member.AcceptsWork())
	}
	return out.String()
}

func record(member fleet.Member) string {
	text := fmt.Sprintf("%s %s %d", member.ID, member.Status, member.Incarnation)
	if started := member.StartedAt.Sub(epoch); started != 0 {
		text += " started=" + started.String()
	}
	if member.Leaving {
		text += " leaving"
	}
	return text
}

func describe(effects []types.Effect) string {
	var out strings.Builder
	for _, effect := range effects {
		switch ef := effect.(type) {
		case fleet.SendExchange:
			fmt.Fprintf(&out, "send to %q at %s%s\n", ef.Peer, ef.Address, describeMessage(ef.Message))
		case fleet.ReplyExchange:
			fmt.Fprintf(&out, "reply%s\n", describeMessage(ef.Message))
		case fleet.SendIndirectProbe:
			fmt.Fprintf(&out, "probe %s through %s\n", ef.Peer, ef.Via)
		case fleet.PullConfig:
			fmt.Fprintf(&out, "pull version %d from %s\n", ef.Version, ef.Peer)
		case fleet.StatusChanged:
			fmt.Fprintf(&out, "changed %s\n", record(ef.Member))
		case fleet.Superseded:
			fmt.Fprintf(&out, "superseded by %s\n", ef.By.Address)
		case fleet.Duplicated:
			fmt.Fprintf(&out, "duplicated by %s\n", ef.Older.Address)
		}
	}
	return out.String()
}

func describeMessage(message fleet.Message) string {
	text := ""
	if message.Full {
		text = " (full)"
	}
	for _, member := range message.Members {
		text += "; " + record(member)
	}
	for _, report := range message.Reports {
		text += fmt.Sprintf("; %s holds %d", report.ID, report.HeldVersion)
	}
	return text
}
