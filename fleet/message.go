package fleet

import (
	"sequoiamill.example/sequoiamill/types"
)

// Message is what two nodes tell each other in one exchange.
type Message struct {
	From        types.InstanceID
	Incarnation uint64
	// Version and Digest name the configuration in force at the sender.
	Version types.Version
	Digest  types.Hash
	// View is the hash of the sender's records, and HeldView that of the
	// versions held.
	View     uint64
	HeldView uint64
	// Members are the records that the sender passes on, its own first.
	Members []Member
	// Reports are the versions of members whose records have not changed.
	Reports []Report
	// Full asks for, or marks, a message with all records.
	Full bool
	// Buckets are the hashes of the parts of the sender's table, and
	// HeldBuckets those of the versions held. They ask for the parts that
	// differ.
	Buckets     []uint64
	HeldBuckets []uint64
	// Repair marks a message with the parts that differed.
	Repair bool
}

// SendExchange is the effect to send a message to a peer.
type SendExchange struct {
	Peer    types.InstanceID
	Address types.Address
	Epoch   uint64
	Message Message
}

// Effect marks the type as an effect.
func (SendExchange) Effect() {}

// ProbeThrough is the effect to ask a third node whether it reaches a peer.
type ProbeThrough struct {
	Peer       types.InstanceID
	Address    types.Address
	Via        types.InstanceID
	ViaAddress types.Address
}

// Effect marks the type as an effect.
func (ProbeThrough) Effect() {}

// ProbeEnded is the event that a third node answered, or did not.
type ProbeEnded struct {
	Peer    types.InstanceID
	Via     types.InstanceID
	Reached bool
}

// Event marks the type as an event.
func (ProbeEnded) Event() {}

// ReplyExchange is the effect to answer a received message.
type ReplyExchange struct {
	Token   uint64
	Message Message
}

// Effect marks the type as an effect.
func (ReplyExchange) Effect() {}

// PullConfig is the effect to fetch a configuration from a peer.
type PullConfig struct {
	Peer    types.InstanceID
	Address types.Address
	Version types.Version
}

// Effect marks the type as an effect.
func (PullConfig) Effect() {}

// PullEnded is the event that a pull is over, whether or not it brought a
// configuration.
type PullEnded struct {
	Peer    types.InstanceID
	Version types.Version
}

// Event marks the type as an event.
func (PullEnded) Event() {}

// Superseded is the effect that a process of this instance that started later
// has taken its place.
type Superseded struct{ By Member }

// Effect marks the type as an effect.
func (Superseded) Effect() {}

// Duplicated is the effect that a process still runs though a later one of
// the same instance has taken its place.
type Duplicated struct{ Older Member }

// Effect marks the type as an effect.
func (Duplicated) Effect() {}

// StatusChanged is the effect that the belief about a member changed.
type StatusChanged struct{ Member Member }

// Effect marks the type as an effect.
func (StatusChanged) Effect() {}

// ExchangeReceived is the event that a peer sent a message.
type ExchangeReceived struct {
	Token   uint64
	Message Message
}

// Event marks the type as an event.
func (ExchangeReceived) Event() {}

// ExchangeAnswered is the event that a peer answered a message.
type ExchangeAnswered struct {
	Peer    types.InstanceID
	Address types.Address
	// Epoch is that of the message that was answered.
	Epoch   uint64
	Message Message
}

// Event marks the type as an event.
func (ExchangeAnswered) Event() {}

// ExchangeFailed is the event that a peer did not answer a message.
type ExchangeFailed struct {
	Peer    types.InstanceID
	Address types.Address
}

// Event marks the type as an event.
func (ExchangeFailed) Event() {}

// SeedsFound is the event that addresses of possible peers are known.
type SeedsFound struct{ Addresses []types.Address }

// Event marks the type as an event.
func (SeedsFound) Event() {}
