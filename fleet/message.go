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
	// View is the hash of the sender's table.
	View uint64
	// Members are the records that the sender passes on.
	Members []Member
	// Full asks for, or marks, a message with all records.
	Full bool
}

// SendExchange is the effect to send a message to a peer.
type SendExchange struct {
	Peer    types.InstanceID
	Address types.Address
	Message Message
}

// Effect marks the type as an effect.
func (SendExchange) Effect() {}

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
