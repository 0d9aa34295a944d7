package canary

// Credit bounds the share of a node's own requests to a service that go to a version on
// trial. Each request earns the share, and each one that goes to the version costs one. No
// message is needed, so the share is kept also by nodes that hear of nothing.
type Credit struct{ balance float64 }

// maxCredit bounds what is saved up while no upstream can take a request.
const maxCredit = 2

// NewCredit returns a credit that begins with a part of a request. Nodes must draw it evenly
// from 0 to 1: then their sum is in expectation just the share of all requests, also of
// nodes that see few requests or start again.
func NewCredit(part float64) *Credit { return &Credit{balance: part} }

// Earn adds one request's share.
func (c *Credit) Earn(share float64) { c.balance = min(c.balance+share, maxCredit) }

// Spend takes one request from the credit, or returns false if there is too little.
func (c *Credit) Spend() bool {
	if c.balance < 1 {
		return false
	}
	c.balance--
	return true
}
