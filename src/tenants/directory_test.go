package tenants_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/tenants"
)

const longKey = 3000

func newDirectory(tb testing.TB) *tenants.Directory {
	tb.Helper()
	d, err := tenants.NewDirectory([]tenants.Tenant{
		{Name: "acme", Keys: []tenants.Key{"k-acme-1", "k-acme-2", "k-acme-1"}},
		{Name: "birch", Keys: []tenants.Key{"k-birch", tenants.Key(strings.Repeat("z", longKey))}},
		{Name: "cedar"},
	})
	qt.Assert(tb, err, qt.IsNil)
	return d
}

// Guards against a request that is admitted by anything but one whole key of a tenant.
func TestLookup(t *testing.T) {
	d := newDirectory(t)
	tests := map[string]struct {
		values  []string
		verdict tenants.Verdict
		tenant  string
	}{
		"key":                   {[]string{"Bearer k-acme-1"}, tenants.VerdictAccepted, "acme"},
		"second key":            {[]string{"Bearer k-acme-2"}, tenants.VerdictAccepted, "acme"},
		"another tenant":        {[]string{"Bearer k-birch"}, tenants.VerdictAccepted, "birch"},
		"lower case scheme":     {[]string{"bearer k-birch"}, tenants.VerdictAccepted, "birch"},
		"upper case scheme":     {[]string{"BEARER k-birch"}, tenants.VerdictAccepted, "birch"},
		"several spaces":        {[]string{"Bearer   k-birch"}, tenants.VerdictAccepted, "birch"},
		"spaces around":         {[]string{" \tBearer k-birch \t"}, tenants.VerdictAccepted, "birch"},
		"long key":              {[]string{"Bearer " + strings.Repeat("z", longKey)}, tenants.VerdictAccepted, "birch"},
		"no field":              {nil, tenants.VerdictMissing, ""},
		"two fields":            {[]string{"Bearer k-birch", "Bearer k-birch"}, tenants.VerdictDuplicated, ""},
		"empty second field":    {[]string{"Bearer k-birch", ""}, tenants.VerdictDuplicated, ""},
		"empty value":           {[]string{""}, tenants.VerdictMalformed, ""},
		"scheme alone":          {[]string{"Bearer"}, tenants.VerdictMalformed, ""},
		"empty key":             {[]string{"Bearer  "}, tenants.VerdictMalformed, ""},
		"key alone":             {[]string{"k-birch"}, tenants.VerdictMalformed, ""},
		"no space":              {[]string{"Bearerk-birch"}, tenants.VerdictMalformed, ""},
		"tab for space":         {[]string{"Bearer\tk-birch"}, tenants.VerdictMalformed, ""},
		"tab before key":        {[]string{"Bearer \tk-birch"}, tenants.VerdictMalformed, ""},
		"another scheme":        {[]string{"Basic k-birch"}, tenants.VerdictMalformed, ""},
		"longer scheme":         {[]string{"Bearers k-birch"}, tenants.VerdictMalformed, ""},
		"text behind the key":   {[]string{"Bearer k-birch x"}, tenants.VerdictMalformed, ""},
		"two keys in one field": {[]string{"Bearer k-birch, Bearer k-acme-1"}, tenants.VerdictMalformed, ""},
		"byte zero":             {[]string{"Bearer k-birch\x00"}, tenants.VerdictMalformed, ""},
		"byte above ASCII":      {[]string{"Bearer k-birch\xff"}, tenants.VerdictMalformed, ""},
		"two keys with a comma": {[]string{"Bearer k-birch,k-acme-1"}, tenants.VerdictUnknown, ""},
		"start of a key":        {[]string{"Bearer k-birc"}, tenants.VerdictUnknown, ""},
		"more than a key":       {[]string{"Bearer k-birch1"}, tenants.VerdictUnknown, ""},
		"case of the key":       {[]string{"Bearer K-BIRCH"}, tenants.VerdictUnknown, ""},
		"quoted key":            {[]string{`Bearer "k-birch"`}, tenants.VerdictUnknown, ""},
		"name of a tenant":      {[]string{"Bearer birch"}, tenants.VerdictUnknown, ""},
		"very long key":         {[]string{"Bearer " + strings.Repeat("z", 1<<20)}, tenants.VerdictUnknown, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			values := [][]byte{}
			for _, v := range tc.values {
				values = append(values, []byte(v))
			}
			got, verdict := d.Lookup(values)
			qt.Assert(t, verdict, qt.Equals, tc.verdict)
			qt.Assert(t, got != nil, qt.Equals, tc.tenant != "")
			if got != nil {
				qt.Assert(t, got.Name, qt.Equals, tc.tenant)
				qt.Assert(t, got.Keys, qt.HasLen, 0)
			}
		})
	}
}

// Guards against a version in force whose keys are ambiguous, and against a key in the error that
// is logged.
func TestNewDirectoryRefuses(t *testing.T) {
	const secret = tenants.Key("s3cr3t-key")
	tests := map[string]struct {
		entries []tenants.Tenant
		want    string
	}{
		"shared key":      {[]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{secret}}, {Name: "birch", Keys: []tenants.Key{"k", secret}}}, `.*"acme" and "birch": hold the same key.*`},
		"no name":         {[]tenants.Tenant{{Name: "acme"}, {Keys: []tenants.Key{secret}}}, `.*position 2: has no name.*`},
		"blank name":      {[]tenants.Tenant{{Name: "  ", Keys: []tenants.Key{secret}}}, `.*position 1: has no name.*`},
		"same name":       {[]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{secret}}, {Name: "acme"}}, `.*"acme": its name occurs twice.*`},
		"name with CR":    {[]tenants.Tenant{{Name: "a\r\nX: y", Keys: []tenants.Key{secret}}}, `.*cannot be sent in a header field.*`},
		"empty key":       {[]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{secret, ""}}}, `.*"acme": has a key that callers cannot send.*`},
		"key with spaces": {[]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{secret + " " + secret}}}, `.*"acme": has a key that callers cannot send.*`},
		"key too long":    {[]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{tenants.Key(strings.Repeat(string(secret), 1000))}}}, `.*"acme": has a key that callers cannot send.*`},
		"negative rate":   {[]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{secret}, RatePerSec: -1}}, `.*"acme": its rate.*`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := tenants.NewDirectory(tc.entries)
			qt.Assert(t, err, qt.ErrorIs, problem.Document)
			qt.Assert(t, err, qt.ErrorMatches, tc.want)
			qt.Assert(t, strings.Contains(err.Error(), string(secret)), qt.IsFalse)
		})
	}
	d, err := tenants.NewDirectory(nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d, qt.IsNil)
}

// Guards against a key in a formatted or marshalled value.
func TestKeyIsRedacted(t *testing.T) {
	entry := tenants.Tenant{Name: "acme", Keys: []tenants.Key{"s3cr3t"}}
	marshalled, err := json.Marshal(entry)
	qt.Assert(t, err, qt.IsNil)
	out := string(marshalled) + fmt.Sprintf("%v %+v %#v %s %q %x", entry, entry, entry, entry.Keys, entry.Keys, entry.Keys[0]) + entry.Keys[0].String()
	for _, form := range []string{"s3cr3t", fmt.Sprintf("%x", "s3cr3t")} {
		qt.Assert(t, strings.Contains(out, form), qt.IsFalse, qt.Commentf("%s", out))
	}
}

// FuzzLookup guards against a panic of the reader, and against a field that is admitted although it
// does not end with the key that it names.
func FuzzLookup(f *testing.F) {
	for _, s := range []string{"", "Bearer", "Bearer k-birch", "bEaReR  k-acme-1 ", "Basic a", "Bearer \x00", "Bearer k-birch, k-birch", "\t Bearer\tk-birch", "Bearer " + strings.Repeat("z", longKey)} {
		f.Add([]byte(s))
	}
	d := newDirectory(f)
	f.Fuzz(func(t *testing.T, value []byte) {
		got, verdict := d.Lookup([][]byte{value})
		qt.Assert(t, got != nil, qt.Equals, verdict == tenants.VerdictAccepted)
		if got == nil {
			return
		}
		fields := strings.Fields(string(value))
		qt.Assert(t, fields, qt.HasLen, 2)
		qt.Assert(t, strings.EqualFold(fields[0], "bearer"), qt.IsTrue)
		keys := map[string][]string{"acme": {"k-acme-1", "k-acme-2"}, "birch": {"k-birch", strings.Repeat("z", longKey)}}
		qt.Assert(t, keys[got.Name], qt.Contains, fields[1])
	})
}

func lookups() map[string][][]byte {
	return map[string][][]byte{
		"accepted": {[]byte("Bearer k-acme-2")}, "unknown": {[]byte("Bearer k-none")}, "malformed": {[]byte("Basic YTpi")}, "missing": nil,
	}
}

// Guards against garbage for each request on the path of all requests.
func TestLookupAllocatesNothing(t *testing.T) {
	d := newDirectory(t)
	for name, values := range lookups() {
		qt.Check(t, testing.AllocsPerRun(100, func() { d.Lookup(values) }), qt.Equals, 0.0, qt.Commentf("%s", name))
	}
}

func BenchmarkLookup(b *testing.B) {
	d := newDirectory(b)
	for name, values := range lookups() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Lookup(values)
			}
		})
	}
}
