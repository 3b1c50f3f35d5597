// Package caller asks a daemon what callers ask it.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"daisyshed.dev/core"
)

// AddressesPath answers GET with Addresses.
const AddressesPath = "/v1/addresses"

const maxAnswerBytes = 1 << 20

// Addresses is a daemon's answer to the question which nodes to use.
type Addresses struct {
	Addresses  []core.NodeAddress
	LifetimeMs int64
	Epoch      string
}

// Error says that a daemon did not answer as it should.
type Error struct {
	Address string
	Reason  string
}

// Error names the daemon and the reason.
func (e *Error) Error() string { return fmt.Sprintf("addresses from %s: %s", e.Address, e.Reason) }

// Ask asks the daemon at a caller address which nodes to use.
func Ask(ctx context.Context, client *http.Client, address string) (Addresses, error) {
	var out Addresses
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&out); err != nil {
		return out, &Error{Address: address, Reason: err.Error()}
	}
	return out, nil
}
