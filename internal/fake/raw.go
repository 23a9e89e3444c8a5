package fake

import (
	"bufio"
	"net"
	"net/http"
)

// ServeRaw accepts connections, reads the head of one request on each, and calls respond,
// which writes what it likes. The connection is closed then.
func ServeRaw(l net.Listener, respond func(conn net.Conn, r *http.Request)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				respond(conn, r)
			}
		}()
	}
}
