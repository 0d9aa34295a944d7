package fleet

import (
	"time"

	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Message is the request or the reply of one gossip exchange between two
// nodes.
type Message struct {
	From        types.InstanceID
	Incarnation uint64
	// Version and Digest identify the configuration in force at the sender.
	Version types.Version
	Digest  types.Hash
	// Prompt is true if Version is to be pulled without waiting for the receiver's own
	// watch (see Table.SetVersion).
	Prompt bool
	// ViewHash is the hash of all records in the sender's table, excluding the
	// configuration versions that the members hold. HeldHash is the hash of
	// these versions.
	ViewHash uint64
	HeldHash uint64
	// Members are records from the sender's table, the sender's own first.
	Members []Member
	// Reports has the configuration versions of members in whose records nothing
	// but the version held has changed.
	Reports []VersionReport
	// Full asks for all records if it is set in a request. In a reply, it is
	// true if the reply has all records, up to maxFullRecords.
	Full bool
	// BucketHashes has one hash for each bucket of the sender's member table, of
	// the records in the bucket. HeldBucketHashes has one hash for each bucket, of
	// the configuration versions that these members hold. If they are set, the
	// receiver replies with its records of each bucket whose hashes differ.
	BucketHashes     []uint64
	HeldBucketHashes []uint64
	// Blame is evidence on requests that end upstreams.
	Blame blame.Report
	// RootRead is the latest answered read of the platform's configuration root that the
	// sender knows of, if any.
	RootRead types.Option[RootReport]
	// Rollouts is what the sender knows of orders to move services to other versions.
	Rollouts []canary.Report
	// Repair is true if the message has the records of the buckets that
	// differed in an anti-entropy comparison.
	Repair bool
}

// RootReport tells that a node has read the platform's configuration root. Age is the time
// since the platform answered.
type RootReport struct {
	Reader types.InstanceID
	Age    time.Duration
}

// SendExchange is the effect to send a gossip message to a peer and wait for
// its reply. Peer is empty if only the address is known.
type SendExchange struct {
	Peer    types.InstanceID
	Address types.Address
	Epoch   uint64
	Message Message
}

// Effect implements types.Effect.
func (SendExchange) Effect() {}

// SendIndirectProbe is the effect to ask the node Via to probe a peer that did
// not answer this node (an indirect probe).
type SendIndirectProbe struct {
	Peer       types.InstanceID
	Address    types.Address
	Via        types.InstanceID
	ViaAddress types.Address
}

// Effect implements types.Effect.
func (SendIndirectProbe) Effect() {}

// IndirectProbeEnded reports that an indirect probe ended. Reached is true if the
// node Via reported that the peer answered Via.
type IndirectProbeEnded struct {
	Peer    types.InstanceID
	Via     types.InstanceID
	Reached bool
}

// Event implements types.Event.
func (IndirectProbeEnded) Event() {}

// ReplyExchange is the effect to reply to a received message. Token is the
// token of the ExchangeReceived event that the reply belongs to.
type ReplyExchange struct {
	Token   uint64
	Message Message
}

// Effect implements types.Effect.
func (ReplyExchange) Effect() {}

// PullConfig is the effect to fetch a configuration version from a peer.
type PullConfig struct {
	Peer    types.InstanceID
	Address types.Address
	Version types.Version
}

// Effect implements types.Effect.
func (PullConfig) Effect() {}

// PullEnded reports that the pull of a PullConfig effect ended after the given time.
// Err is nil if the peer sent a configuration, which may be of another version.
type PullEnded struct {
	Peer    types.InstanceID
	Version types.Version
	After   time.Duration
	Err     *fault.Error
}

// Event implements types.Event.
func (PullEnded) Event() {}

// VersionLearned is the effect to report that a peer holds a configuration version
// that this node lacks.
type VersionLearned struct {
	Peer    types.InstanceID
	Version types.Version
}

// Effect implements types.Effect.
func (VersionLearned) Effect() {}

// Superseded is the effect to stop this process, because a process that started
// later runs under the same instance ID. By is the record of the later process.
type Superseded struct{ By Member }

// Effect implements types.Effect.
func (Superseded) Effect() {}

// Duplicated is the effect to report that two processes of another instance run
// at the same time. Older is the record of the process that started first.
type Duplicated struct{ Older Member }

// Effect implements types.Effect.
func (Duplicated) Effect() {}

// StatusChanged is the effect to report that a member is new or that its status, its
// process start, or whether it is leaving or detached changed.
type StatusChanged struct{ Member Member }

// Effect implements types.Effect.
func (StatusChanged) Effect() {}

// ExchangeReceived reports that a peer sent a message. Token identifies the
// request, so that the reply can be matched to it.
type ExchangeReceived struct {
	Token   uint64
	Message Message
}

// Event implements types.Event.
func (ExchangeReceived) Event() {}

// ExchangeAnswered reports that a peer replied to a message.
type ExchangeAnswered struct {
	Peer    types.InstanceID
	Address types.Address
	// Epoch is the join epoch (see Table.Epoch) in which the request was sent.
	// A reply to a request of an earlier epoch does not count towards joining.
	Epoch   uint64
	Message Message
}

// Event implements types.Event.
func (ExchangeAnswered) Event() {}

// ExchangeFailed reports that an exchange with a peer failed or timed out.
type ExchangeFailed struct {
	Peer    types.InstanceID
	Address types.Address
}

// Event implements types.Event.
func (ExchangeFailed) Event() {}

// SeedsFound reports that discovery returned addresses of possible peers.
type SeedsFound struct{ Addresses []types.Address }

// Event implements types.Event.
func (SeedsFound) Event() {}
