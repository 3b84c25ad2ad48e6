package incarnation

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func TestCompare(t *testing.T) {
	for _, c := range []struct {
		one, other     ID
		matches, later bool
	}{
		{ID{"w", 2}, ID{"w", 1}, false, true},
		{ID{"w", 1}, ID{"w", 2}, false, false},
		{ID{"w", 1}, ID{"w", 1}, true, false},
		{ID{"w", 0}, ID{"w", 1}, true, false},
		{ID{"w", 1}, ID{"w", 0}, true, false},
		{ID{"w", 0}, ID{"w", 0}, true, false},
		{ID{"v", 2}, ID{"w", 1}, false, false},
		{ID{"v", 0}, ID{"w", 0}, false, false},
	} {
		quicktest.Check(t, c.one.Matches(c.other), quicktest.Equals, c.matches, quicktest.Commentf("%v matches %v", c.one, c.other))
		quicktest.Check(t, c.one.IsLaterThan(c.other), quicktest.Equals, c.later, quicktest.Commentf("%v is later than %v", c.one, c.other))
	}
}

// TestOldRows checks that rows written before start times existed, which hold a worker's name as text, can be
// read, and that an incarnation without a start time is still written in this way.
func TestOldRows(t *testing.T) {
	old, err := cbor.Marshal(map[string]string{"i-1": "10.0.0.1:80"})
	quicktest.Assert(t, err, quicktest.IsNil)
	var addresses map[ID]string
	quicktest.Assert(t, cbor.Unmarshal(old, &addresses), quicktest.IsNil)
	quicktest.Check(t, addresses, quicktest.DeepEquals, map[ID]string{{Worker: "i-1"}: "10.0.0.1:80"})
	raw, err := cbor.Marshal(ID{Worker: "i-1"})
	quicktest.Assert(t, err, quicktest.IsNil)
	var name string
	quicktest.Assert(t, cbor.Unmarshal(raw, &name), quicktest.IsNil)
	quicktest.Check(t, name, quicktest.Equals, "i-1")
}

// TestRows checks that every incarnation is read back as it was written, also as the key of a map, whatever the
// worker's name.
func TestRows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := ID{Worker: rapid.OneOf(rapid.StringMatching(`[a-z0-9/@-]{0,12}`), rapid.String()).Draw(r, "worker"), Born: rapid.Int64Min(0).Draw(r, "born")}
		raw, err := cbor.Marshal(map[ID]ID{l: l})
		if err != nil {
			r.Fatal(err)
		}
		var back map[ID]ID
		if err := cbor.Unmarshal(raw, &back); err != nil || len(back) != 1 || back[l] != l {
			r.Fatalf("%v is read as %v: %v", l, back, err)
		}
	})
}
