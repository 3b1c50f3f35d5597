package ledger_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/ledger"
	"daisyshed.dev/wire/service"
)

func TestLedgerRecordsCallsThatRan(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &ledger.Ledger{Listener: lis}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- l.Run(ctx) }()
	// call sends a call with an idempotency key. It returns the response's
	// status, or zero if the connection broke.
	call := func(key string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+lis.Addr().String()+service.CallPath, strings.NewReader("{}"))
		is.NoErr(err)
		// When a reused connection breaks, net/http retries a request that
		// has an Idempotency-Key. A new connection for each call avoids that.
		r.Close = true
		r.Header.Set("Idempotency-Key", key)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	is.Equal(call("a"), http.StatusOK)
	is.Equal(call("a"), http.StatusOK)
	l.Injector.Inject(fault.Fault{Kind: fault.Down, On: true})
	is.Equal(call("b"), http.StatusServiceUnavailable)
	l.Injector.Inject(fault.Fault{Kind: fault.Down})
	l.Injector.Inject(fault.Fault{Kind: fault.LoseReplies, Count: 1})
	is.Equal(call("c"), 0)
	var keys []string
	for _, entry := range l.Ran() {
		keys = append(keys, entry.Key)
	}
	is.Equal(keys, []string{"a", "a", "c"})
	cancel()
	is.NoErr(<-stopped)
}
