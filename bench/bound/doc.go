// Package bound computes an upper bound on the number of requests that a
// clairvoyant scheduler could answer within their latency targets.
//
// The bound comes from a fluid model: the scheduler knows each request's true
// output length, the engines' true rates and which prompt prefixes are shared.
// All engines of a role are treated as one engine, and each request costs the
// least engine time that its prefill and its decoding can take. Queueing,
// transfers, the order of arrival and the placement of memory cost nothing.
// Requests that could not be answered in time even on idle engines are left
// out. What remains is to select requests whose total prefill time and total
// decode time both fit into the engines' time.
//
// The selection is a knapsack problem with two constraints. Every selection
// that satisfies both also satisfies each weighted sum of them, and under a
// single constraint, taking the cheapest requests first selects the largest
// number. So the smallest of those numbers over a grid of weights is an upper
// bound.
package bound
