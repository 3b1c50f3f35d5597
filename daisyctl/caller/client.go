// Package caller is a client of the address endpoint that daemons serve to
// callers.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"daisyshed.dev/core"
)

// AddressesPath is the path of the endpoint that answers GET with an AddressList.
const AddressesPath = "/v1/addresses"

const maxResponseBytes = 1 << 20

// AddressList is the list of nodes that a daemon returns to callers, with the
// time for which the list is valid.
type AddressList struct {
	Addresses  []core.NodeAddress
	LifetimeMs int64
	// Epoch is the value that callers send as Idempotency-Epoch with new
	// idempotency keys. It is empty if the daemon does not know it.
	Epoch string
}

// Error reports a failed request to a daemon: no connection, an error status or an
// unreadable body.
type Error struct {
	Address string
	Reason  string
}

// Error returns the daemon's address and the reason.
func (e *Error) Error() string { return fmt.Sprintf("addresses from %s: %s", e.Address, e.Reason) }

// FetchAddresses requests the addresses from the daemon at a caller address.
func FetchAddresses(ctx context.Context, client *http.Client, address string) (AddressList, error) {
	var out AddressList
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+AddressesPath, nil)
	if err != nil {
		return out, &Error{Address: address, Reason: err.Error()}
	}
	resp, err := client.Do(r)
	if err != nil {
		return out, &Error{Address: address, Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, &Error{Address: address, Reason: resp.Status}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return out, &Error{Address: address, Reason: err.Error()}
	}
	return out, nil
}
