package metastore_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"daisyshed.dev/standin/metastore"
	"github.com/matryer/is"
)

// newestState returns the newest desired state that the store answers with.
func newestState(t *testing.T, s *metastore.Store) string {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/-/log-newest?Topic="+metastore.OperatorTopic, nil))
	var page struct {
		Items []struct{ Value []byte } `json:"items"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil || len(page.Items) != 1 {
		t.Fatalf("%v: %s", err, w.Body)
	}
	return string(page.Items[0].Value)
}

// The store returns from a copy a second time, or the operator writes a state, before what the
// first return lost is written again. An older state was then written after the newest one,
// which no operator does, and no node could have the newest one any more.
func TestOperatorsNeverWriteAnOlderStateAgain(t *testing.T) {
	is := is.New(t)
	var s metastore.Store
	put := func(state string) {
		time.Sleep(10 * time.Millisecond)
		s.Put(metastore.OperatorTopic, metastore.StateKey, []byte(state))
	}
	put("first")
	first := time.Now()
	put("second")
	second := time.Now()
	put("third")
	rewriteThird := s.Restore(time.Since(second))
	rewriteSecond := s.Restore(time.Since(first))
	is.Equal(newestState(t, &s), "first")
	rewriteThird()
	rewriteSecond()
	is.Equal(newestState(t, &s), "third")

	rewrite := s.Restore(time.Since(second))
	put("fourth")
	rewrite()
	is.Equal(newestState(t, &s), "fourth")
}
