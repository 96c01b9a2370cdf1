//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["chunked-bodies"] = chunkedBodies }

const (
	// bodyBytes is the size of the largest bodies of visit-book in the site file.
	bodyBytes = 24000
	// bookings is the number of requests.
	bookings = 100
)

// chunkedBodies checks DENIED: requests whose bodies are sent in one chunk of 24,000 bytes must not be refused.
func chunkedBodies(c *caseRun) (broken bool, err error) {
	if err := writeConfiguration(c.store, route{prefix: "/book/", service: "rounds", timeout: "2000ms", slo: "500ms"}); err != nil {
		return false, err
	}
	for i, id := range []string{"i-a1", "i-a2", "i-a3", "i-a4"} {
		if _, err := c.addTarget("rounds", id, sites[i%len(sites)], 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := c.startGateways(2); err != nil {
		return false, err
	}
	denied := 0
	for i := range bookings {
		g := c.gateways[i%len(c.gateways)]
		id := fmt.Sprintf("%s-%06d", g.name, i)
		status, header, err := c.sendRaw(g, bookingMessage(id, c.trouble))
		if err != nil {
			c.note("request %s via %s: %v", id, g.name, err)
			continue
		}
		signature := header.Get("X-Bilberryline-Response-Signature")
		c.note("request %s via %s: status %d, signature %q, reason %q", id, g.name, status, signature, header.Get("Proxy-Status"))
		if status >= 400 && status < 500 && signature == "" {
			denied++
		}
	}
	limit := 5 + bookings/500
	c.note("%d requests, %d refused with a 4xx of the gateway's own; the rule permits %d", bookings, denied, limit)
	return denied > limit, nil
}

// bookingMessage returns a request with a body of bodyBytes, sent as one chunk or else with its length.
func bookingMessage(id string, chunked bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nX-Bilberryline-Request-Id: %s\r\nX-Bilberryline-Deadline-Ms: 4000\r\n", virtualHost, id)
	body := bytes.Repeat([]byte("a"), bodyBytes)
	if chunked {
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return b.Bytes()
}

// sendRaw sends a message on a new connection and returns the status and the header of the response.
func (c *caseRun) sendRaw(g *gateway, message []byte) (status int, header http.Header, err error) {
	conn, err := g.dial()
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return 0, nil, err
	}
	if _, err := conn.Write(message); err != nil {
		return 0, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header, nil
}
