package fakes

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

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

func ask(conn net.Conn, text string) string {
	_, _ = conn.Write([]byte(text))
	answer := make([]byte, len(text))
	count, _ := io.ReadFull(conn, answer)
	return string(answer[:count])
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
	is.Equal(ask(old, "old"), "old")

	is.NoErr(lk.Set(LinkSettings{Mode: LinkSilent}))
	fresh := dialLink(is, lk)
	is.Equal(ask(fresh, "fresh"), "fresh")
	is.NoErr(lk.Set(LinkSettings{Mode: LinkPass}))
	is.NoErr(old.SetDeadline(time.Now().Add(50 * time.Millisecond)))
	is.Equal(ask(old, "lost"), "") // a silent connection stays silent

	is.NoErr(lk.Set(LinkSettings{Mode: LinkCut, Only: []string{"other"}}))
	is.Equal(ask(fresh, "fresh"), "fresh")
	is.Equal(ask(dialLink(is, lk), "other"), "") // the connection is reset
	is.NoErr(lk.Set(LinkSettings{Mode: LinkCut}))
	is.Equal(ask(fresh, "fresh"), "")
	_, err = net.Dial("tcp", lk.Address())
	is.True(err != nil) // new connections are refused

	is.NoErr(lk.Set(LinkSettings{Mode: LinkBlackHole}))
	held := dialLink(is, lk)
	is.NoErr(held.SetDeadline(time.Now().Add(50 * time.Millisecond)))
	is.Equal(ask(held, "held"), "")
	is.NoErr(held.SetDeadline(time.Time{}))
	is.NoErr(lk.Set(LinkSettings{Mode: LinkDelay, Delay: 10 * time.Millisecond}))
	sent := time.Now()
	is.Equal(ask(held, "")+ask(dialLink(is, lk), "late"), "late")
	is.True(time.Since(sent) >= 20*time.Millisecond)
}
