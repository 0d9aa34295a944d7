package bench

import (
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

const (
	firstPort = 61001
	lastPort  = 65534
)

// ports assigns free loopback addresses. Their ports are above the range that the
// kernel uses for outgoing connections.
type ports struct{ next int }

func newPorts() *ports {
	const stride = 2003
	return &ports{next: firstPort + os.Getpid()*stride%(lastPort-firstPort)}
}

func (pt *ports) take() (string, error) {
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(pt.next))
		if pt.next++; pt.next > lastPort {
			pt.next = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// takeAll sets each of the given addresses to a free one.
func (pt *ports) takeAll(addresses ...*string) error {
	for _, address := range addresses {
		var err error
		if *address, err = pt.take(); err != nil {
			return err
		}
	}
	return nil
}
