package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenes["multipart"] = multipartScene }

const boundary = "7c1e0b52a9"

// form is a form with several parts, of which one states its content type.
func form(asset int) []byte {
	var b strings.Builder
	for _, part := range [][2]string{
		{`Content-Disposition: form-data; name="site"`, "vadodara"},
		{`Content-Disposition: form-data; name="asset"`, fmt.Sprint(asset)},
		{"Content-Disposition: form-data; name=\"details\"\r\nContent-Type: application/json", `{"reason":"broken","price":120}`},
		{`Content-Disposition: form-data; name="approved"`, "yes"},
	} {
		fmt.Fprintf(&b, "--%s\r\n%s\r\n\r\n%s\r\n", boundary, part[0], part[1])
	}
	fmt.Fprintf(&b, "--%s--\r\n", boundary)
	return []byte(b.String())
}

// multipartScene sends forms in chunks without the trouble, and with a length with it.
func multipartScene(r *record, trouble bool) (bool, error) {
	n, err := newInstallation(r, 3, 2)
	if n != nil {
		defer n.close()
	}
	if err != nil {
		return false, err
	}
	for range 3 {
		if _, err := n.addServer(service, func(*request) answer { return answer{status: 200, body: "done"} }); err != nil {
			return false, err
		}
	}
	if err := n.publish(config); err != nil {
		return false, err
	}
	if err := n.awaitReady(); err != nil {
		return false, err
	}
	sent := map[string][]byte{}
	for i := range 20 {
		id, body := nextID(), form(i)
		sent[id] = body
		raw := rawRequest(http.MethodPost, "/retire/form", id, firstKey, body, "Content-Type: multipart/form-data; boundary="+boundary)
		if !trouble {
			raw = bytes.Replace(raw, fmt.Appendf(nil, "Content-Length: %d\r\n", len(body)), []byte("Transfer-Encoding: chunked\r\n"), 1)
			raw = append(bytes.TrimSuffix(raw, body), fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)...)
		}
		r.add("client: %s, a form of %d bytes: %s", id, len(body), send(n.callerAddress(i%2), raw, 1500*time.Millisecond))
		time.Sleep(20 * time.Millisecond)
	}
	broken, ran := false, 0
	for _, s := range n.servers {
		for _, run := range s.allRuns() {
			ran++
			same := bytes.Equal(run.body, sent[run.id()])
			r.add("server %s ran %s with %d bytes, as sent: %t", s.id, run.id(), len(run.body), same)
			if !same {
				r.add("sent:     %q", sent[run.id()])
				r.add("received: %q", run.body)
				broken = true
			}
		}
	}
	if ran == 0 {
		return false, fmt.Errorf("no request was run")
	}
	return broken, nil
}
