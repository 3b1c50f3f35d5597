// Package fairshare decides who is served when there is too little room for all: in which
// order queued requests are placed, which of them can no longer be placed in time, and when
// rejected callers return.
//
// It works on plain values. An instant is the time since any fixed start.
package fairshare
