package platform_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/platform"
	"daisyshed.dev/wire/vmlist"
)

const start = core.Instant(1e18)

// record returns a batch of one record.
func record(text string) [][]byte { return [][]byte{[]byte(text)} }

func TestReplyIsLostAfterTheAppend(t *testing.T) {
	is := is.New(t)
	l := &platform.Log{Retention: time.Hour}
	l.Injector.Inject(fault.Fault{Kind: fault.LoseReplies, Count: 1})
	_, err := l.Append(start, "s", record("a"))
	is.True(errors.As(err, new(fault.ReplyLost)))
	first, err := l.Append(start, "s", record("b"))
	is.NoErr(err)
	is.Equal(first, core.Offset(2))
}

func TestUnavailableLogRejectsOperations(t *testing.T) {
	is := is.New(t)
	l := &platform.Log{Retention: time.Hour}
	l.Injector.Inject(fault.Fault{Kind: fault.Down, On: true})
	_, err := l.Append(start, "s", record("a"))
	is.True(errors.As(err, new(fault.Unavailable)))
	_, err = l.Read(start, "s", 0)
	is.True(errors.As(err, new(fault.Unavailable)))
	l.Injector.Inject(fault.Fault{Kind: fault.Down})
	read, err := l.Read(start, "s", 0)
	is.NoErr(err)
	is.Equal(read.End, core.Offset(0))
}

func TestAppendRateIsLimited(t *testing.T) {
	is := is.New(t)
	l := &platform.Log{Retention: time.Hour, AppendsPerSecond: 300}
	accepted := 0
	for i := range 3000 {
		_, err := l.Append(start.Add(time.Duration(i)*time.Millisecond), "s", record("a"))
		if err == nil {
			accepted++
			continue
		}
		is.True(errors.As(err, new(platform.RateLimited)))
	}
	// A burst of one second's appends, and 300 in each of three seconds.
	is.True(accepted > 1150)
	is.True(accepted <= 1200)
}

// TestReadsReturnRetainedRecords runs random appends and reads and compares the
// log with a plain list of the appended records.
func TestReadsReturnRetainedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &platform.Log{Retention: time.Minute}
		now := start
		var appended []core.Instant
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				records := make([][]byte, rapid.IntRange(1, 700).Draw(t, "records"))
				first, err := l.Append(now, "s", records)
				if err != nil || first != core.Offset(len(appended)+1) {
					t.Fatalf("offset %d, error %v", first, err)
				}
				for range records {
					appended = append(appended, now)
				}
			},
			"read": func(t *rapid.T) {
				after := core.Offset(rapid.IntRange(0, len(appended)+1).Draw(t, "after"))
				read, err := l.Read(now, "s", after)
				if err != nil || read.End != core.Offset(len(appended)) {
					t.Fatalf("end %d of %d, error %v", read.End, len(appended), err)
				}
				next := max(after+1, read.First)
				for _, e := range read.Entries {
					if e.Offset != next || e.At != int64(appended[next-1]) {
						t.Fatalf("offset %d at %d in place of %d", e.Offset, e.At, next)
					}
					next++
				}
				if len(read.Entries) < platform.ReadLimit && next <= read.End {
					t.Fatalf("read ended before %d of %d", next, read.End)
				}
				for i, at := range appended {
					kept := now.Sub(at) <= time.Minute
					if kept != (core.Offset(i+1) >= read.First) {
						t.Fatalf("first %d, but record %d is %s old", read.First, i+1, now.Sub(at))
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

func TestVMListDelaysChanges(t *testing.T) {
	is := is.New(t)
	v := &platform.VMs{Lag: 5 * time.Second, Listed: []vmlist.VM{{ID: "a", State: "Live"}}}
	is.NoErr(v.Set(start, vmlist.VM{ID: "a", State: "Leaving"}))
	is.NoErr(v.Set(start.Add(time.Second), vmlist.VM{ID: "b", State: "Live"}))
	is.NoErr(v.Set(start.Add(2*time.Second), vmlist.VM{ID: "a", State: platform.Removed}))
	states := func(after time.Duration) map[string]string {
		list, err := v.List(start.Add(after))
		is.NoErr(err)
		shown := map[string]string{}
		for _, vm := range list.VMs {
			shown[vm.ID] = vm.State
		}
		return shown
	}
	is.Equal(states(4*time.Second), map[string]string{"a": "Live"})
	is.Equal(states(6*time.Second), map[string]string{"a": "Leaving", "b": "Live"})
	is.Equal(states(7*time.Second), map[string]string{"b": "Live"})
}
