package ingress

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
)

const (
	// smallBody is the largest body, in bytes, that may use the whole budget. Larger ones leave
	// smallBodyShare of it free, so that small requests are served beside them.
	smallBody      = 128 << 10
	smallBodyShare = 0.25
	// bodyGrowth is by how much the reservation of a body without a length grows, in bytes.
	bodyGrowth = 64 << 10
)

// bodyBudget bounds the sum of the bodies that requests hold in memory. A budget without a limit
// refuses nothing. It is safe for concurrent use.
type bodyBudget struct{ limit, held atomic.Int64 }

// heldBody is a body with its reservation.
type heldBody struct {
	budget   *bodyBudget
	reserved int64
	bytes    []byte
}

// MemoryFullError reports a body that does not fit beside the Held bytes of other requests.
type MemoryFullError struct{ Bytes, Held int64 }

// Error returns the message with the sizes.
func (e *MemoryFullError) Error() string {
	return fmt.Sprintf("no memory for a body of %d bytes beside %d bytes", e.Bytes, e.Held)
}

// grow reserves memory for a body of size bytes in all.
func (h *heldBody) grow(size int64) error {
	more := size - h.reserved
	limit := h.budget.limit.Load()
	if limit > 0 && size > smallBody {
		limit -= int64(smallBodyShare * float64(limit))
	}
	held := h.budget.held.Add(more)
	if limit > 0 && held > limit {
		h.budget.held.Add(-more)
		return &MemoryFullError{Bytes: size, Held: held - more}
	}
	h.reserved = size
	return nil
}

// release frees the reservation.
func (h *heldBody) release() {
	h.budget.held.Add(-h.reserved)
	h.reserved = 0
}

// read reads a body of at most limit bytes. length is the declared length, or -1.
func (h *heldBody) read(r io.Reader, length, limit int64) error {
	if length > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	if length >= 0 {
		if err := h.grow(length); err != nil {
			return err
		}
		h.bytes = make([]byte, length)
		_, err := io.ReadFull(r, h.bytes)
		return err
	}
	for {
		if int64(len(h.bytes)) == h.reserved {
			if err := h.grow(min(h.reserved+bodyGrowth, limit+1)); err != nil {
				return err
			}
			h.bytes = slices.Grow(h.bytes, int(h.reserved)-len(h.bytes))
		}
		n, err := r.Read(h.bytes[len(h.bytes):h.reserved])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case int64(len(h.bytes)) > limit:
			return &http.MaxBytesError{Limit: limit}
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
