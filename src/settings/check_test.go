package settings_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
)

const whole = `service = "bookings"
domain = "mid-a"
region = "midlands"
[listen]
proxy = "127.0.0.1:7101"
control = "127.0.0.1:7201"
admin = "127.0.0.1:7301"
[backend]
addr = "127.0.0.1:7001"
slots = 12
connections = 120
[store]
addr = "127.0.0.1:7400"
`

func TestParse(t *testing.T) {
	tests := map[string]struct{ old, replacement, want string }{
		"whole":                  {"", "", ""},
		"unknown key":            {"slots = 12", "slotz = 12", `settings: a.toml:10: unknown key "backend.slotz"; remove it.*`},
		"wrong type":             {"slots = 12", `slots = "many"`, `settings: a.toml:10: .*`},
		"no service":             {`service = "bookings"`, "", `.*service is "".*name it.*`},
		"no slots":               {"slots = 12", "slots = 0", `.*backend.slots is "0"; set it to 1 to 10000`},
		"few connections":        {"connections = 120", "connections = 3", `.*backend.connections is "3"; .*`},
		"host name":              {`addr = "127.0.0.1:7400"`, `addr = "store:7400"`, `settings: a.toml:13: .*`},
		"unspecified control":    {`control = "127.0.0.1:7201"`, `control = "0.0.0.0:7201"`, `.*listen.control.*IP number that other daemons reach.*`},
		"control without keys":   {`control = "127.0.0.1:7201"`, `control = "192.0.2.1:7201"`, `.*set \[keys\], or insecure = true.*`},
		"admin without token":    {`admin = "127.0.0.1:7301"`, `admin = "192.0.2.1:7301"`, `.*listen.admin_token`},
		"unknown profile":        {`region = "midlands"`, "region = \"midlands\"\nprofile = \"slow\"", `.*set it to fast or thrifty`},
		"unknown log format":     {"[store]", "[log]\nformat = \"xml\"\n[store]", `.*log.format is "xml".*`},
		"health path not a path": {"slots = 12", "slots = 12\nhealth_path = \"health\"", `.*start it with a slash`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.Parse("a.toml", []byte(strings.Replace(whole, tc.old, tc.replacement, 1)))
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tc.want)
			c.Assert(err, qt.ErrorIs, problem.Settings)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = settings.Parse("a.toml", b)
	})
}
