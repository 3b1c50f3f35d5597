package tcp_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// However a head arrives, its end is found, and what follows it does not count.
func TestScannerFindsTheEndOfAHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		lines := rapid.SliceOfN(rapid.StringMatching(`[a-zA-Z-]{1,9}: ?[a-z\r]{0,9}`), 1, 20).Draw(t, "lines")
		head := strings.Repeat(end, rapid.IntRange(0, 3).Draw(t, "empty lines")) + strings.Join(lines, end) + end + end
		rest := rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(t, "rest")
		var s tcp.HeadScanner
		for sent := head + rest; sent != ""; {
			n := rapid.IntRange(1, len(sent)).Draw(t, "part")
			if before := len(head) + len(rest) - len(sent); before < len(head) {
				is.True(!s.Ended())
			}
			s.Scan([]byte(sent[:n]))
			sent = sent[n:]
		}
		is.True(s.Ended())
		is.Equal(s.Text(), int64(len(head)))
		is.Equal(s.Bytes(), tcp.HeadBytes(int64(len(head)), int64(len(lines))))
	})
}

// Both fields that say where a body ends are found, however the head arrives.
func TestScannerFindsAnAmbiguousLength(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nX: transfer-encoding:\r\ncontent-LENGTH: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	both := strings.Index(head, "chunked\r\n") + len("chunked\r\n")
	for i := range len(head) {
		var s tcp.HeadScanner
		s.Scan([]byte(head[:i]))
		is.Equal(s.HasAmbiguousLength(), i >= both)
		s.Scan([]byte(head[i:]))
		is.True(s.HasAmbiguousLength())
	}
}

// What a head is said to take is at least what it takes, for short fields and for long ones.
func TestHeadBytesCoverTheParsedHead(t *testing.T) {
	const heads = 50
	for _, value := range []string{"", "v", strings.Repeat("v", 40), strings.Repeat("v", 1000)} {
		for _, size := range []int{300, 1 << 10, 3 << 10, 16 << 10, 60 << 10} {
			t.Run(fmt.Sprintf("%d bytes with values of %d", size, len(value)), func(t *testing.T) {
				is := is.New(t)
				var b strings.Builder
				b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
				for i := 0; b.Len() < size; i++ {
					fmt.Fprintf(&b, "%x:%s\r\n", i, value)
				}
				head := b.String() + "\r\n"
				var s tcp.HeadScanner
				s.Scan([]byte(head))
				kept := make([]*http.Request, heads)
				before := liveBytes()
				for i := range kept {
					r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
					is.NoErr(err)
					kept[i] = r
				}
				taken := (liveBytes() - before) / heads
				t.Logf("%d bytes taken, %d counted", taken, s.Bytes())
				// A request takes some hundred bytes besides its head.
				is.True(taken <= s.Bytes()+1<<10)
				is.True(tcp.HeaderBytes(kept[0].Header) <= s.Bytes())
				runtime.KeepAlive(kept)
			})
		}
	}
}

// liveBytes returns the size of the live heap.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
