package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// playSmuggled sends deposits on kept connections. Their bodies contain the text of another
// request. With the trouble, each deposit has a length that covers its whole body, and also says
// that the body comes in chunks. No server may run what stands inside a body.
func playSmuggled(daemon string, trouble bool, r *record) (int, error) {
	d, err := newDeployment(daemon, []string{"gulf-a", "plains-a"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	for _, m := range d.all() {
		if err := m.start(); err != nil {
			return cannotRun, err
		}
	}
	s, err := startServer(d, r, "i-1", d.prefix+"80", "gulf-a", 50*time.Millisecond)
	if err != nil {
		return cannotRun, err
	}
	routes := map[string]any{"r-1": routeItem("/lepu270/", "non_idempotent", "deposits", 2000, 1)}
	if status := order(d, r, "first call", "/config/patch", firstCall(routes), time.Now().Add(20*time.Second)); status/100 != 2 {
		return cannotRun, fmt.Errorf("the first call was not acknowledged: %d", status)
	}
	// The server is cold at first.
	time.Sleep(5 * time.Second)
	addresses := resolve(d, "gulf-a", "gulf")
	if len(addresses) == 0 {
		return cannotRun, errors.New("the directory names no address")
	}
	served := 0
	for i := range 10 {
		outer, inner := fmt.Sprintf("outer-%d", i), fmt.Sprintf("inner-%d", i)
		status, err := sendDeposit(addresses[i%len(addresses)], outer, inner, trouble)
		r.line("client: %s with %s in its body: %d, %v", outer, inner, status, err)
		if status == 200 {
			served++
		}
	}
	time.Sleep(time.Second)
	smuggled := 0
	for i := range 10 {
		if _, ran := s.runs.Load(fmt.Sprintf("inner-%d", i)); ran {
			smuggled++
		}
	}
	r.line("%d of 10 deposits were served; %d of 10 requests inside their bodies ran", served, smuggled)
	switch {
	case smuggled > 0:
		return broken, nil
	case !trouble && served < 10:
		return cannotRun, errors.New("the deposits were not served")
	}
	return held, nil
}

// sendDeposit sends a deposit whose body contains the text of the request inner, and returns the
// status of the first answer. It then reads on until the connection ends or a second is over.
func sendDeposit(address, outer, inner string, chunkedToo bool) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	body := "0\r\n\r\n" + head("/lepu270/inner", inner) + "Content-Length: 0\r\n\r\n"
	fields := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if chunkedToo {
		fields += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, head("/lepu270/outer", outer)+fields+"\r\n"+body); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	var status int
	if _, err := fmt.Sscanf(strings.TrimPrefix(line, "HTTP/1.1 "), "%d", &status); err != nil {
		return 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, reader)
	return status, nil
}

// head returns the beginning of the head of a deposit.
func head(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\n" + attemptHeader + ": " + id + "\r\n" + deadlineHeader + ": 2000\r\n"
}
