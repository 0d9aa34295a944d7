package fakes

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echoServer starts a TCP server that echoes all bytes, and returns its address.
func echoServer(is *is.I) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// exchange sends the text and returns the bytes that were echoed before the
// connection failed or its deadline passed.
func exchange(conn net.Conn, text string) string {
	_, _ = conn.Write([]byte(text))
	answer := make([]byte, len(text))
	n, _ := io.ReadFull(conn, answer)
	return string(answer[:n])
}

func dialLink(is *is.I, lk *Link) net.Conn {
	conn, err := net.Dial("tcp", lk.Address())
	is.NoErr(err)
	return conn
}

func TestLinkModes(t *testing.T) {
	is := is.New(t)
	lk, err := NewLink("127.0.0.1:0", echoServer(is))
	is.NoErr(err)
	defer lk.Close()
	old := dialLink(is, lk)
	is.Equal(exchange(old, "old"), "old")

	is.NoErr(lk.Set(LinkSettings{Mode: LinkSilent}))
	fresh := dialLink(is, lk)
	is.Equal(exchange(fresh, "fresh"), "fresh")
	is.NoErr(lk.Set(LinkSettings{Mode: LinkPass}))
	is.NoErr(old.SetDeadline(time.Now().Add(50 * time.Millisecond)))
	is.Equal(exchange(old, "lost"), "") // a silent connection stays silent

	is.NoErr(lk.Set(LinkSettings{Mode: LinkCut, Only: []string{"other"}}))
	is.Equal(exchange(fresh, "fresh"), "fresh")
	is.Equal(exchange(dialLink(is, lk), "other"), "") // the connection is reset
	is.NoErr(lk.Set(LinkSettings{Mode: LinkCut}))
	is.Equal(exchange(fresh, "fresh"), "")
	_, err = net.Dial("tcp", lk.Address())
	is.True(err != nil) // new connections are refused

	is.NoErr(lk.Set(LinkSettings{Mode: LinkBlackHole}))
	blocked := dialLink(is, lk)
	is.NoErr(blocked.SetDeadline(time.Now().Add(50 * time.Millisecond)))
	is.Equal(exchange(blocked, "held"), "")
	is.NoErr(blocked.SetDeadline(time.Time{}))
	is.NoErr(lk.Set(LinkSettings{Mode: LinkDelay, Delay: 10 * time.Millisecond}))
	sent := time.Now()
	is.Equal(exchange(blocked, "")+exchange(dialLink(is, lk), "late"), "late")
	is.True(time.Since(sent) >= 20*time.Millisecond)
}
