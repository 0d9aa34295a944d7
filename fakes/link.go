package fakes

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/fault"
)

// LinkMode selects what a link does with the bytes of its connections.
type LinkMode string

// The modes of a link.
const (
	// LinkPass forwards everything.
	LinkPass LinkMode = "pass"
	// LinkDelay forwards everything after a delay.
	LinkDelay LinkMode = "delay"
	// LinkCut resets open connections and refuses new ones. If the settings have
	// Only, a new connection is accepted and reset once its first bytes match.
	LinkCut LinkMode = "cut"
	// LinkSilent stops forwarding on the connections that are open when the mode
	// is set, even after a later change of mode; new connections work.
	LinkSilent LinkMode = "silent"
	// LinkBlackHole holds all bytes back until the mode changes; new connections
	// are accepted but hang.
	LinkBlackHole LinkMode = "black-hole"
)

const (
	// chunkSize is the maximum number of bytes read at once.
	chunkSize = 16 << 10
	// maxQueuedChunks is the maximum number of chunks that wait to be forwarded in
	// one direction of a connection.
	maxQueuedChunks = 64
	// pollInterval is how often a blocked connection checks whether it may
	// forward bytes again.
	pollInterval       = 5 * time.Millisecond
	invalidModeMessage = "mode must be pass, delay, cut, silent or black-hole"
)

// LinkSettings holds the mode of a link and the connections it applies to.
type LinkSettings struct {
	Mode LinkMode
	// Delay is the time between reading bytes and forwarding them. It is meant
	// for LinkDelay, but every mode that forwards bytes applies it.
	Delay time.Duration
	// Only limits the mode to connections whose first bytes from the client
	// contain one of these texts; empty means all connections.
	Only []string
}

// Link is a TCP relay that simulates a faulty network between two endpoints.
type Link struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	settings LinkSettings
	conns    map[*relayedConn]struct{}
}

// NewLink returns a link that accepts connections at the listen address and
// relays them to the target address.
func NewLink(listen, target string) (*Link, error) {
	lk := &Link{address: listen, target: target, settings: LinkSettings{Mode: LinkPass}, conns: map[*relayedConn]struct{}{}}
	if err := lk.open(); err != nil {
		return nil, err
	}
	return lk, nil
}

// Address returns the address that the link listens on.
func (lk *Link) Address() string { return lk.address }

// Set applies the settings to open and new connections.
func (lk *Link) Set(settings LinkSettings) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.settings = settings
	refuse := settings.Mode == LinkCut && len(settings.Only) == 0
	if refuse && lk.listener != nil {
		_ = lk.listener.Close()
		lk.listener = nil
	}
	for conn := range lk.conns {
		conn.apply(settings)
	}
	if refuse || lk.listener != nil {
		return nil
	}
	return lk.open()
}

// Close stops the link's listener and resets its connections.
func (lk *Link) Close() { _ = lk.Set(LinkSettings{Mode: LinkCut}) }

// ServeHTTP sets the settings from the query parameters of the request, such as
// /set?mode=delay&delay=20ms&only=text.
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
		writeError(writer, fault.New(fault.InvalidInput, invalidModeMessage))
		return
	}
	if err := lk.Set(settings); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

// open starts a listener and relays its connections until the listener is
// closed.
func (lk *Link) open() error {
	listener, err := net.Listen("tcp", lk.address)
	if err != nil {
		return err
	}
	lk.address = listener.Addr().String()
	lk.listener = listener
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			go lk.relay(clientConn)
		}
	}()
	return nil
}

// relay forwards an accepted connection to the target and back until both
// directions have ended. Settings with Only take effect once the first bytes
// from the client have been read.
func (lk *Link) relay(clientConn net.Conn) {
	conn := &relayedConn{clientConn: clientConn, mode: LinkBlackHole}
	lk.mu.Lock()
	lk.conns[conn] = struct{}{}
	conn.setInitialMode(lk.settings)
	lk.mu.Unlock()
	defer func() {
		lk.mu.Lock()
		delete(lk.conns, conn)
		lk.mu.Unlock()
		conn.closeBoth()
	}()
	if !conn.waitUnblocked() {
		return
	}
	targetConn, err := net.Dial("tcp", lk.target)
	if err != nil {
		return
	}
	if !conn.setTarget(targetConn) {
		return
	}
	done := make(chan struct{}, 2)
	go func() {
		conn.pump(targetConn, clientConn, func(first []byte) { lk.setFirstBytes(conn, first) })
		done <- struct{}{}
	}()
	go func() {
		conn.pump(clientConn, targetConn, nil)
		done <- struct{}{}
	}()
	<-done
	<-done
}

// setFirstBytes records the first bytes that the client sent. Settings with Only
// may match these bytes, so it applies the link's settings again. It does not
// apply LinkSilent, which affects only connections that were open when the mode
// was set.
func (lk *Link) setFirstBytes(conn *relayedConn, first []byte) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	conn.mu.Lock()
	conn.first = first
	conn.mu.Unlock()
	settings := lk.settings
	if settings.Mode == LinkSilent {
		return
	}
	conn.apply(settings)
}

// relayedConn is an accepted connection with its connection to the target.
type relayedConn struct {
	clientConn net.Conn

	mu sync.Mutex
	// targetConn is nil until the link has dialed the target.
	targetConn net.Conn
	// first holds the first bytes that the client sent.
	first []byte
	mode  LinkMode
	delay time.Duration
	// silent is true once LinkSilent has been applied, and stays true.
	silent bool
	closed bool
}

// setInitialMode sets the mode of a new connection to the mode of the link, with
// two exceptions. A new connection starts with LinkPass if the link's mode is
// LinkSilent, which affects only older connections. It also starts with LinkPass
// if the settings have Only, because its first bytes are not known yet.
func (rc *relayedConn) setInitialMode(settings LinkSettings) {
	if settings.Mode == LinkSilent || len(settings.Only) > 0 {
		settings = LinkSettings{Mode: LinkPass}
	}
	rc.apply(settings)
}

// apply sets the mode and delay of the connection. It sets LinkPass if Only
// excludes the connection.
func (rc *relayedConn) apply(settings LinkSettings) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.matches(settings.Only) {
		settings = LinkSettings{Mode: LinkPass}
	}
	rc.mode, rc.delay = settings.Mode, settings.Delay
	rc.silent = rc.silent || settings.Mode == LinkSilent
	if settings.Mode == LinkCut {
		rc.reset()
	}
}

// matches reports whether the connection's first bytes contain one of the texts.
// It also returns true if there are no texts.
func (rc *relayedConn) matches(texts []string) bool {
	for _, text := range texts {
		if bytes.Contains(rc.first, []byte(text)) {
			return true
		}
	}
	return len(texts) == 0
}

// reset closes both connections with a TCP reset.
func (rc *relayedConn) reset() {
	rc.closed = true
	for _, conn := range []net.Conn{rc.clientConn, rc.targetConn} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (rc *relayedConn) closeBoth() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.closed = true
	_ = rc.clientConn.Close()
	if rc.targetConn != nil {
		_ = rc.targetConn.Close()
	}
}

// setTarget records the connection to the target and returns true. If the
// accepted connection has been closed, it closes targetConn and returns false.
func (rc *relayedConn) setTarget(targetConn net.Conn) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.closed {
		_ = targetConn.Close()
		return false
	}
	rc.targetConn = targetConn
	return true
}

// waitUnblocked waits while the connection is silent or in LinkBlackHole. It
// reports whether the connection is still open.
func (rc *relayedConn) waitUnblocked() bool {
	for {
		rc.mu.Lock()
		blocked, closed := rc.silent || rc.mode == LinkBlackHole, rc.closed
		rc.mu.Unlock()
		if closed {
			return false
		}
		if !blocked {
			return true
		}
		time.Sleep(pollInterval)
	}
}

func (rc *relayedConn) currentDelay() time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.delay
}

// linkChunk holds bytes to forward and the time at which they were read.
type linkChunk struct {
	data []byte
	read time.Time
}

// pump copies bytes from one connection to the other and forwards each chunk
// after the current delay. When it can read no more, it closes the write side of
// the receiving connection. A write error closes both connections. If onFirst is
// not nil, pump calls it with the first bytes that it reads.
func (rc *relayedConn) pump(to, from net.Conn, onFirst func(first []byte)) {
	queue := make(chan linkChunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			chunk := make([]byte, chunkSize)
			n, err := from.Read(chunk)
			if n > 0 && onFirst != nil {
				onFirst(chunk[:n])
				onFirst = nil
			}
			if n > 0 {
				queue <- linkChunk{data: chunk[:n], read: time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range queue {
		time.Sleep(time.Until(chunk.read.Add(rc.currentDelay())))
		if !rc.waitUnblocked() {
			continue
		}
		if _, err := to.Write(chunk.data); err != nil {
			rc.closeBoth()
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && rc.waitUnblocked() {
		_ = tcp.CloseWrite()
	}
}
