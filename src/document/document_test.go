package document

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
)

// TestParseDefaults checks that defaults are set for omitted keys only, so that a weight of 0 in the file stays, and that the default timeout is shortened to the deadline.
func TestParseDefaults(t *testing.T) {
	c := qt.New(t)
	d, err := Parse("bookings.toml", []byte("service = \"bookings\"\n[[route]]\nprefix = \"/diary\"\ndeadline = \"1s\"\ntargets = [{service = \"bookings\"}, {service = \"canary\", weight = 0}]\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(d.Hosts, qt.DeepEquals, []string{"bookings"})
	r := d.Routes[0]
	c.Assert(r.Timeout.Std(), qt.Equals, r.Deadline.Std())
	c.Assert(r.Targets, qt.DeepEquals, []Target{{"bookings", 1}, {"canary", 0}})
	c.Assert(r.Name, qt.Equals, "/diary")
}

// TestParseInvalid checks that an invalid document is rejected with the line and key of each error.
func TestParseInvalid(t *testing.T) {
	const head = "service = \"bookings\"\n"
	tests := map[string]struct{ data, want string }{
		"unknown key":         {head + "[[route]]\nprefx = \"/\"\n", `.*f\.toml:3: route\.prefx: unknown key; remove it.*`},
		"key of agents alone": {head + "[[route]]\npublic = true\n", `.*f\.toml:3: route\.public: unknown key; remove it.*`},
		"bad duration":        {head + "drain_grace = \"2 s\"\n", `.*f\.toml:2: drain_grace: cannot be read.*`},
		"no service":          {"", `.*f\.toml:1: service: "" is not a service name.*`},
		"timeout too long":    {head + "[[route]]\n[[route]]\nprefix=\"/b\"\ntimeout = \"9s\"\ndeadline = \"3s\"\n", `.*f\.toml:5: route\[1\]\.timeout: 9s is longer than the deadline 3s; .*`},
		"deposit with hedge":  {head + "[[route]]\ndeposit = true\n[route.hedge]\nafter = \"9ms\"\n", `.*f\.toml:5: route\[0\]\.hedge\.after: a hedge on.*`},
		"deposit idempotent":  {head + "[[route]]\ndeposit = true\nidempotent = true\n", `.*f\.toml:4: route\[0\]\.idempotent: true on a deposit.*`},
		"all weights 0":       {head + "[[route]]\ntargets = [\n {service = \"a\", weight = 0},\n]\n", `.*f\.toml:3: route\[0\]\.targets: all weights are 0.*`},
		"negative weight":     {head + "[[route]]\ntargets = [\n {service = \"a\", weight = -4},\n]\n", `(?s).*f\.toml:4: route\[0\]\.targets\[0\]\.weight: -4 is out of bounds.*`},
		"same prefix":         {head + "[[route]]\nname=\"a\"\n[[route]]\nname=\"b\"\n", `.*f\.toml:4: route\[1\]\.prefix: "/" is also.*`},
		"negative queue wait": {head + "[limits]\nqueue_wait = \"-1s\"\n", `.*f\.toml:3: limits\.queue_wait: -1s.*`},
		"two errors":          {head + "hosts = [\"A B\"]\n[limits]\nqueue = -1\n", `(?s).*f\.toml:2: hosts\[0\].*\n.*f\.toml:4: limits\.queue: -1.*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse("f.toml", []byte(test.data))
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(err, qt.ErrorIs, problem.Document)
		})
	}
}

// TestCheckAll checks documents against each other. Service names are one letter here, and each file is named after its service.
func TestCheckAll(t *testing.T) {
	tests := map[string]struct {
		docs []string
		want string
	}{
		"fallback to another service": {[]string{"service=\"a\"\n[[route]]\nfallback=\"b\"", "service=\"b\""}, ""},
		"dangling target":             {[]string{"service=\"a\"\n[[route]]\ntargets=[{service=\"b\"}]"}, `.*a:3: route\[0\]\.targets\[0\]\.service: service "b" has no document.*`},
		"dangling fallback": {[]string{"service=\"a\"\n[[route]]\nfallback=\"b\""},
			`.*a:3: route\[0\]\.fallback: service "b" has no document.*`},
		"same prefix on a shared host":        {[]string{"service=\"a\"\nhosts=[\"h\"]", "service=\"b\"\nhosts=[\"h\"]"}, `.*"/" on host "h" is already taken by service "a".*`},
		"different prefixes on a shared host": {[]string{"service=\"a\"\nhosts=[\"h\"]", "service=\"b\"\nhosts=[\"h\"]\n[[route]]\nprefix=\"/b\""}, ""},
		"loop": {[]string{"service=\"a\"\n[[route]]\nfallback=\"b\"", "service=\"b\"\n[[route]]\nfallback=\"c\"", "service=\"c\"\n[[route]]\nfallback=\"a\""},
			`.*c:3: route\[0\]\.fallback: fallbacks form a loop: a to b to c to a.*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			docs := map[string]*Document{}
			for _, s := range test.docs {
				name := s[len(`service="`) : len(`service="`)+1]
				d, err := Parse(name, []byte(s))
				c.Assert(err, qt.IsNil)
				docs[d.Service] = d
			}
			err := CheckAll(docs)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(err, qt.ErrorIs, problem.Document)
		})
	}
}

// FuzzParse checks that Parse and CheckAll do not panic and that every error of Parse is of kind problem.Document.
func FuzzParse(f *testing.F) {
	f.Add([]byte("service = \"a\"\n[[route]]\ntargets = [{service = \"b\", weight = 3}]\n[route.retry]\nattempts = 2\n"))
	f.Add([]byte("route.a = 1\n[[route]]\n[route.hedge]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("f.toml", data)
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, problem.Document)
			return
		}
		_ = CheckAll(map[string]*Document{d.Service: d})
	})
}
