package agent_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

// Guards against agents that admit more of a tenant than its limit together, refuse another tenant
// with it, or log no reason.
func TestQuotaOverAgents(t *testing.T) {
	c := qt.New(t)
	store, log := standin.NewRegistryStore(), &logBuffer{}
	store.Put(testKeys.Config, []byte("1 /a/ s3cr3t-1 s3cr3t-2"))
	limited := func(a *agent.Agent) {
		a.Settings.Quota = agent.Quota{Window: settings.Duration(5 * time.Second), Over: 0.1, Slack: 20}
		decode := a.DecodeConfig
		a.DecodeConfig = func(value []byte) (*agent.Config, error) {
			config, err := decode(value)
			if err == nil {
				config.Tenants[0].RatePerSec, config.Tenants[0].Burst = 20, 10
			}
			return config, err
		}
	}
	vms := []*vm{}
	for _, name := range []string{"one", "two"} {
		v := startVM(c, store.View(), name, startBackend(c, "i-"+name), tenantOption(log), limited)
		v.sendHeartbeat(c, 1, false)
		vms = append(vms, v)
	}
	for _, v := range vms {
		eventually(c, "calls are served", func() bool { return v.dial(c).get(c, "s3cr3t-2") == 200 })
	}
	time.Sleep(3 * time.Second) // the agents delegate only after that

	var admitted, refused, others atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(5 * time.Second)
	for _, v := range vms {
		conn := v.dial(c)
		wg.Go(func() {
			for time.Now().Before(end) {
				switch conn.get(c, "s3cr3t-1") {
				case 200:
					admitted.Add(1)
				case 429:
					refused.Add(1)
				}
				if conn.get(c, "s3cr3t-2") != 200 {
					others.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	bound := int64((20*5+10)*1.1 + 20)
	c.Logf("admitted %d of at most %d, refused %d", admitted.Load(), bound, refused.Load())
	c.Check(admitted.Load() <= bound, qt.IsTrue)
	c.Check(admitted.Load() >= 95, qt.IsTrue)
	c.Check(refused.Load() > 0, qt.IsTrue)
	c.Check(others.Load(), qt.Equals, int64(0))
	c.Check(log.String(), qt.Contains, `"msg":"tenant is limited"`)
	c.Check(log.String(), qt.Contains, `"reason":"quota"`)
}
