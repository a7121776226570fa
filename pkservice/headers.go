package pkservice

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forward copies the headers that go through from one side to the other.
func forward(to, from http.Header) {
	named := map[string]bool{}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range hopByHop {
		named[name] = true
	}
	for name, values := range from {
		if !named[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
