package fakes

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/fault"
)

// LinkMode is what a link does with the bytes of its connections.
type LinkMode string

// The modes of a link.
const (
	// LinkPass carries everything.
	LinkPass LinkMode = "pass"
	// LinkDelay carries everything after the delay.
	LinkDelay LinkMode = "delay"
	// LinkCut resets open connections and refuses new ones.
	LinkCut LinkMode = "cut"
	// LinkSilent carries nothing more on open connections, also after a later
	// change of mode; new connections work.
	LinkSilent LinkMode = "silent"
	// LinkBlackHole carries nothing; new connections hang.
	LinkBlackHole LinkMode = "black-hole"
)

const (
	linkChunk  = 16 << 10
	linkQueue  = 64
	linkPause  = 5 * time.Millisecond
	modeNotice = "mode must be pass, delay, cut, silent or black-hole"
)

// LinkSettings are the mode of a link, and which connections it is for.
type LinkSettings struct {
	Mode  LinkMode
	Delay time.Duration
	// Only limits the mode to connections whose first bytes hold one of the
	// texts; empty means all connections.
	Only []string
}

// Link is a stand-in for the network between two ends: a TCP relay.
type Link struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	settings LinkSettings
	pairs    map[*linkPair]struct{}
}

// NewLink returns a link that relays a listen address to a target.
func NewLink(listen, target string) (*Link, error) {
	lk := &Link{address: listen, target: target, settings: LinkSettings{Mode: LinkPass}, pairs: map[*linkPair]struct{}{}}
	if err := lk.open(); err != nil {
		return nil, err
	}
	return lk, nil
}

// Address returns the address that the link listens on.
func (lk *Link) Address() string { return lk.address }

// Set changes the mode for open and new connections.
func (lk *Link) Set(settings LinkSettings) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.settings = settings
	refuse := settings.Mode == LinkCut && len(settings.Only) == 0
	if refuse && lk.listener != nil {
		_ = lk.listener.Close()
		lk.listener = nil
	}
	for pair := range lk.pairs {
		pair.apply(settings)
	}
	if refuse || lk.listener != nil {
		return nil
	}
	return lk.open()
}

// Close ends the link and its connections.
func (lk *Link) Close() { _ = lk.Set(LinkSettings{Mode: LinkCut}) }

// ServeHTTP changes the mode: /set?mode=delay&delay=20ms&only=text.
func (lk *Link) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	settings := LinkSettings{Mode: LinkMode(query.Get("mode")), Only: query["only"]}
	if text := query.Get("delay"); text != "" {
		delay, err := time.ParseDuration(text)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		settings.Delay = delay
	}
	switch settings.Mode {
	case LinkPass, LinkDelay, LinkCut, LinkSilent, LinkBlackHole:
	default:
		writeError(writer, fault.New(fault.InvalidInput, modeNotice))
		return
	}
	if err := lk.Set(settings); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

// open listens and accepts connections until the listener closes.
func (lk *Link) open() error {
	listener, err := net.Listen("tcp", lk.address)
	if err != nil {
		return err
	}
	lk.address = listener.Addr().String()
	lk.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go lk.relay(conn)
		}
	}()
	return nil
}

// relay reads the first bytes of a connection before it applies the mode.
func (lk *Link) relay(near net.Conn) {
	pair := &linkPair{near: near, mode: LinkBlackHole}
	lk.mu.Lock()
	lk.pairs[pair] = struct{}{}
	pair.accepted(lk.settings)
	lk.mu.Unlock()
	defer func() {
		lk.mu.Lock()
		delete(lk.pairs, pair)
		lk.mu.Unlock()
		pair.end()
	}()
	if !pair.await() {
		return
	}
	far, err := net.Dial("tcp", lk.target)
	if err != nil {
		return
	}
	if !pair.join(far) {
		return
	}
	done := make(chan struct{}, 2)
	go func() {
		pair.pump(far, near, func(first []byte) { lk.opened(pair, first) })
		done <- struct{}{}
	}()
	go func() {
		pair.pump(near, far, nil)
		done <- struct{}{}
	}()
	<-done
	<-done
}

// opened applies the mode now that the connection's first bytes are known.
func (lk *Link) opened(pair *linkPair, first []byte) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	pair.mu.Lock()
	pair.first = first
	pair.mu.Unlock()
	settings := lk.settings
	if settings.Mode == LinkSilent {
		return
	}
	pair.apply(settings)
}

// linkPair is one relayed connection.
type linkPair struct {
	near net.Conn

	mu     sync.Mutex
	far    net.Conn
	first  []byte
	mode   LinkMode
	delay  time.Duration
	silent bool
	ended  bool
}

// accepted sets the mode of a connection that has sent nothing yet.
func (lp *linkPair) accepted(settings LinkSettings) {
	if settings.Mode == LinkSilent || len(settings.Only) > 0 {
		settings = LinkSettings{Mode: LinkPass}
	}
	lp.apply(settings)
}

func (lp *linkPair) apply(settings LinkSettings) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if !lp.covered(settings.Only) {
		settings = LinkSettings{Mode: LinkPass}
	}
	lp.mode, lp.delay = settings.Mode, settings.Delay
	lp.silent = lp.silent || settings.Mode == LinkSilent
	if settings.Mode == LinkCut {
		lp.reset()
	}
}

func (lp *linkPair) covered(texts []string) bool {
	for _, text := range texts {
		if bytes.Contains(lp.first, []byte(text)) {
			return true
		}
	}
	return len(texts) == 0
}

func (lp *linkPair) reset() {
	lp.ended = true
	for _, conn := range []net.Conn{lp.near, lp.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (lp *linkPair) end() {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.ended = true
	_ = lp.near.Close()
	if lp.far != nil {
		_ = lp.far.Close()
	}
}

func (lp *linkPair) join(far net.Conn) bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.ended {
		_ = far.Close()
		return false
	}
	lp.far = far
	return true
}

// await blocks while nothing is carried. It reports whether the connection
// still stands.
func (lp *linkPair) await() bool {
	for {
		lp.mu.Lock()
		held, ended := lp.silent || lp.mode == LinkBlackHole, lp.ended
		lp.mu.Unlock()
		if ended {
			return false
		}
		if !held {
			return true
		}
		time.Sleep(linkPause)
	}
}

func (lp *linkPair) delayed() time.Duration {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.delay
}

type linkBytes struct {
	data []byte
	read time.Time
}

// pump carries one direction, and ends both when either end is closed.
func (lp *linkPair) pump(to, from net.Conn, opened func(first []byte)) {
	queue := make(chan linkBytes, linkQueue)
	go func() {
		defer close(queue)
		for {
			chunk := make([]byte, linkChunk)
			count, err := from.Read(chunk)
			if count > 0 && opened != nil {
				opened(chunk[:count])
				opened = nil
			}
			if count > 0 {
				queue <- linkBytes{data: chunk[:count], read: time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range queue {
		time.Sleep(time.Until(chunk.read.Add(lp.delayed())))
		if !lp.await() {
			continue
		}
		if _, err := to.Write(chunk.data); err != nil {
			lp.end()
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && lp.await() {
		_ = tcp.CloseWrite()
	}
}
