package agent_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/problem"
)

const validSettings = `name = "vm-1"
service = "bookings"
domain = "mid-a"
region = "midlands"
heartbeat = "1500ms"
stop_grace = "6s"
memory_mb = 284
link_mbps = 1000.0
[listen]
callers = "10.1.0.38:8147"
links = "10.1.0.38:8146"
ready = "10.1.0.38:8141"
heartbeats = "10.1.0.38:8144"
metrics = "10.1.0.38:7390"
[backend]
addr = "10.1.0.38:8145"
[store]
addr = "10.200.1.7:8142"
min_ttl = "1000ms"
[retry_budget]
share = 0.2
reserve = 60
`

func TestParseSettings(t *testing.T) {
	tests := map[string]struct{ old, replacement, wantErr string }{
		"valid":                 {"", "", ""},
		"missing value":         {`service = "bookings"`, "service = ", `settings: a.toml:2: .*`},
		"missing number":        {`stop_grace = "6s"`, `stop_grace = "s"`, `settings: a.toml:6: .*"stop_grace".*`},
		"missing key":           {`domain = "mid-a"`, "", `.*domain is "".*`},
		"ill-typed":             {"memory_mb = 284", `memory_mb = "much"`, `settings: a.toml:7: .*`},
		"no address":            {`callers = "10.1.0.38:8147"`, "", `.*listen.callers.*IP number and port`},
		"host name":             {`addr = "10.200.1.7:8142"`, `addr = "store:1"`, `settings: a.toml:18: .*`},
		"no link speed":         {"link_mbps = 1000.0", "", `.*link_mbps is "0".*`},
		"no memory limit":       {"memory_mb = 284", "", `.*memory_mb is "0".*`},
		"no minimum TTL":        {`min_ttl = "1000ms"`, "", `.*store.min_ttl is "0s".*`},
		"drain time below zero": {"[backend]\n", "[backend]\ndrain_time = \"-1s\"\n", `.*backend.drain_time is "-1s".*`},
		"staleness below zero":  {`min_ttl = "1000ms"`, "min_ttl = \"1000ms\"\nmax_staleness = \"-1s\"", `.*store.max_staleness is "-1s".*`},
		"no stop grace":         {`stop_grace = "6s"`, "", `.*stop_grace is "0s".*`},
		"rollout":               {"[retry_budget]", "[rollout]\nmax_share = 0.1\n[retry_budget]", ""},
		"no rollout keys":       {"[retry_budget]", "[rollout]\n[retry_budget]", ""},
		"rollout share":         {"[retry_budget]", "[rollout]\nmax_share = 1.5\n[retry_budget]", `.*rollout.max_share is "1.5".*`},
		"prefer_domain":         {"reserve = 60\n", "reserve = 60\n[dispatch]\nprefer_domain = true\n", ""},
		"policy":                {"reserve = 60\n", "reserve = 60\n[admission]\npolicy = \"value\"\n", ""},
		"no such policy":        {"reserve = 60\n", "reserve = 60\n[admission]\npolicy = \"fair\"\n", `.*admission.policy is "fair".*"priority" or "value".*`},
		"no such choice":        {"reserve = 60\n", "reserve = 60\n[dispatch]\nprefer_domain = \"yes\"\n", `settings: a.toml:2[0-9]: .*`},
		"unknown key":           {"memory_mb = 284", "memory_kb = 3", `settings: a.toml:7: unknown key "memory_kb".*`},
		"revocation":            {"reserve = 60", "reserve = 60\n[revocation]\ntime = \"5000ms\"\nstrict = true", ""},
		"strict, no time":       {"reserve = 60", "reserve = 60\n[revocation]\nstrict = true", `.*revocation.time is "0s".*leave out the section revocation`},
		"time below zero":       {"reserve = 60", "reserve = 60\n[revocation]\ntime = \"-5s\"", `.*revocation.time is "-5s".*`},
		"quota":                 {"reserve = 60", "reserve = 60\n[quota]\nwindow = \"5s\"\nover = 0.1\nslack = 20", ""},
		"quota, no time":        {"reserve = 60", "reserve = 60\n[quota]\nslack = 20", `.*quota.window is "0s".*leave out the section quota`},
		"quota below 0":         {"reserve = 60", "reserve = 60\n[quota]\nwindow = \"5s\"\nover = -0.1", `.*quota.over is "-0.1".*`},
		"not TOML":              {validSettings, "{", `settings: a.toml.*`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := agent.ParseSettings("a.toml", []byte(strings.Replace(validSettings, tc.old, tc.replacement, 1)))
			if tc.wantErr == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tc.wantErr)
			qt.Assert(t, err, qt.ErrorIs, problem.Settings)
		})
	}
}
