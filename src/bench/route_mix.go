package bench

import (
	"slices"
	"strings"

	"github.com/yuccaport/yuccaport/src/document"
)

// routeMix is what callers ask of one service; a path is empty when the service has no such route.
type routeMix struct {
	host, read, payment, photo string
}

// mixes returns an entry for each backend server, so that a service gets calls in proportion to its servers.
func mixes(d Deployment) ([]routeMix, error) {
	var out []routeMix
	for _, s := range d.Services {
		doc, err := document.Parse(s.Name, s.Document)
		if err != nil {
			return nil, err
		}
		m := mixOf(doc)
		for range s.Servers {
			out = append(out, m)
		}
	}
	return out, nil
}

func mixOf(doc *document.Document) routeMix {
	m := routeMix{host: doc.Hosts[0]}
	for _, r := range doc.Routes {
		path := strings.TrimSuffix(r.Prefix, "/") + "/7"
		switch {
		case r.Deposit:
			m.payment = path
		case slices.Contains(r.Methods, "GET") && m.read == "":
			m.read = path
		case slices.Contains(r.Methods, "PUT"):
			m.photo = path
		}
	}
	if m.read == "" {
		m.read = "/7"
	}
	return m
}
