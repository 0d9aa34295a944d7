package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sequoiamill.example/sequoiamill/fakes"
)

// linkSpec describes the proxy that adds network latency in front of one node's
// peer listener.
type linkSpec struct {
	Listen      string `json:"listen"`
	Target      string `json:"target"`
	DelayMicros int64  `json:"delay-micros"`
	// Only is a list of substrings. The proxy delays only the connections whose
	// first bytes contain one of them.
	Only []string `json:"only"`
}

// controlPathPrefix is the beginning of the request path of control messages
// between nodes. Connections whose first bytes contain it carry control messages.
const controlPathPrefix = "/sequoiamill.peer."

// serveLinks reads a JSON list of linkSpec and relays connections to the nodes. It
// returns only on an error.
func serveLinks(input io.Reader) error {
	var specs []linkSpec
	if err := json.NewDecoder(input).Decode(&specs); err != nil {
		return err
	}
	for _, spec := range specs {
		link, err := fakes.NewLink(spec.Listen, spec.Target)
		if err != nil {
			return err
		}
		err = link.Set(fakes.LinkSettings{
			Mode:  fakes.LinkDelay,
			Delay: time.Duration(spec.DelayMicros) * time.Microsecond,
			Only:  spec.Only,
		})
		if err != nil {
			return err
		}
	}
	select {}
}

// startLinks starts a proxy with the layout's latency in front of every node's
// peer listener. Calls from entry nodes in the same availability zone are not
// delayed; control messages are always delayed.
func (ft *Fleet) startLinks() error {
	if ft.Layout.Latency == 0 {
		return nil
	}
	specs := make([]linkSpec, 0, len(ft.Instances))
	for _, instance := range ft.Instances {
		spec := linkSpec{Listen: instance.LinkAddress, Target: instance.PeerListenAddress, DelayMicros: ft.Layout.Latency.Microseconds(), Only: []string{controlPathPrefix}}
		for _, entry := range ft.Instances {
			if entry.Location != instance.Location {
				spec.Only = append(spec.Only, fmt.Sprintf("Sequoiamill-Entry: %s\r\n", entry.Name))
			}
		}
		specs = append(specs, spec)
	}
	text, err := json.Marshal(specs)
	if err != nil {
		return err
	}
	ft.links, err = startProcess(string(text), verbLinks)
	return err
}

// PeerAddress returns the address at which other nodes reach the instance: that
// of the latency proxy if there is one, or else of the peer listener.
func (in *Instance) PeerAddress() string {
	if in.LinkAddress != "" {
		return in.LinkAddress
	}
	return in.PeerListenAddress
}
