// Package capacity measures what the real core costs as the numbers of nodes,
// upstreams, requests and configuration changes grow. It drives many cores in
// one process on virtual time, so bytes and messages are exact and repeatable;
// processor time and memory depend on the computer that runs it.
package capacity
