package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against an agent that, after a rejected configuration, passes on none that can be used, asks
// for none, or takes the rejected one again with each listing; and against one that ignores the next
// configuration at a revision that a restored store gives out again.
func TestRejectedConfig(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	core := &registry.Core{Keys: testKeys, ConfigVersion: configVersion}
	list := func(revision uint64, value string) []registry.Action {
		return core.Step(now, registry.Changed{Revision: revision, Items: []registry.Item{{Key: testKeys.Config, Value: []byte(value), Revision: revision}}})
	}
	c.Assert(list(1, "1"), qt.HasLen, 1)
	c.Assert(list(2, "2"), qt.HasLen, 1)
	core.Step(now, registry.ConfigRejected{Value: []byte("1")})
	_, version := core.Config()
	c.Check(version, qt.Equals, uint64(2), qt.Commentf("the rejection of another one"))
	core.Step(now, registry.ConfigRejected{Value: []byte("2")})
	_, version = core.Config()
	c.Check(version, qt.Equals, uint64(1), qt.Commentf("asks its peers by the one before"))
	c.Check(string(core.Reply(wire.RegistryRequest{}).Value), qt.Equals, "1")
	c.Check(list(2, "2"), qt.HasLen, 0)
	c.Check(list(2, "3"), qt.HasLen, 1)
	c.Check(string(core.Reply(wire.RegistryRequest{}).Value), qt.Equals, "3")
}
