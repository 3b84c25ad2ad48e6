package relay

import (
	"context"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/store"
)

// TestMessagesKeepTheirBytes fails when a change of the code alters the messages between boxes, as a renamed field can.
// Each value must be encoded as in testdata/messages.txt, and the bytes there be decoded as the value.
func TestMessagesKeepTheirBytes(t *testing.T) {
	key := store.Key{Table: "t", Part: "p", Name: "n"}
	row := store.Row{Key: key, Value: []byte{1, 2}, Version: 3, Deleted: true}
	page := store.Page{Rows: []store.Row{row}, More: true, Version: 4}
	rows := store.Range{Table: "t", Part: "p", From: "a", To: "b", Limit: 5}
	conflict := store.Conflict{Rows: []store.Row{row}}
	stored := linesOf(t, "testdata/messages.txt")
	for name, value := range map[string]any{
		"transaction": store.Transaction{
			Conditions: []store.Condition{{Key: key, Version: 6}}, Writes: []store.Row{row}, Deletes: []store.Key{key}, Patient: true,
		},
		"range":     rows,
		"page":      page,
		"query":     store.Query{Range: rows, Known: 7, Wait: 8 * time.Second, MaxAge: 9 * time.Second},
		"copy":      store.Copy{Page: page, Digest: 10, Age: 11 * time.Second, Waited: 12 * time.Second},
		"watch":     watchRequest{Table: "t", Since: 13, Wait: 14 * time.Second},
		"committed": commitReply{Version: 15, Conflict: &conflict},
		"conflict":  conflict,
	} {
		raw, err := cbor.Marshal(value)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, hex.EncodeToString(raw), quicktest.Equals, stored[name], quicktest.Commentf("%s", name))
		raw, err = hex.DecodeString(stored[name])
		quicktest.Assert(t, err, quicktest.IsNil)
		decoded := reflect.New(reflect.TypeOf(value))
		quicktest.Assert(t, cbor.Unmarshal(raw, decoded.Interface()), quicktest.IsNil)
		quicktest.Check(t, reflect.DeepEqual(decoded.Elem().Interface(), value), quicktest.IsTrue, quicktest.Commentf("%s", name))
		delete(stored, name)
	}
	quicktest.Check(t, stored, quicktest.HasLen, 0)
}

// TestAnnouncementKeepsItsBytes fails when a change of the code alters the row that a box announces itself with.
func TestAnnouncementKeepsItsBytes(t *testing.T) {
	stored := linesOf(t, "testdata/announcement.txt")
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		rows := emulator.NewStore(1).For("box-1", &emulator.Gate{})
		b := &PeerDirectory{Box: "box-1", Hall: "hall-1", Address: "10.0.0.1:80", TakeoverTime: 1500 * time.Millisecond}
		began := time.Now()
		quicktest.Assert(t, b.announce(ctx, rows, b.ownKey()), quicktest.IsNil)
		page, err := rows.Read(ctx, store.Range{Table: "boxes", Part: "boxes"})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, page.Rows, quicktest.HasLen, 1)
		quicktest.Check(t, page.Rows[0].Name, quicktest.Equals, stored["name"])
		quicktest.Check(t, string(page.Rows[0].Value), quicktest.Equals, stored["value"])

		a := decodeAnnouncement(&store.Row{Key: store.Key{Name: stored["name"]}, Value: []byte(stored["value"]), Version: 3})
		quicktest.Check(t, a.written.Equal(began), quicktest.IsTrue)
		a.written = time.Time{}
		quicktest.Check(t, a, quicktest.Equals, announcement{
			box: "box-1", address: "10.0.0.1:80", hall: "hall-1", takeoverTime: 1500 * time.Millisecond, version: 3,
		})
	})
}

// linesOf reads a file whose lines are a name, a space and a value.
func linesOf(t *testing.T, file string) map[string]string {
	raw, err := os.ReadFile(file)
	quicktest.Assert(t, err, quicktest.IsNil)
	lines := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		lines[name] = value
	}
	return lines
}
