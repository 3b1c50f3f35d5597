// Package bound computes how many requests a clairvoyant scheduler could at
// most answer within their targets.
//
// The bound is a fluid one: it knows each request's true output length, the
// engines' true rates and which prompt prefixes are shared, treats all engines
// of a role as one, and charges each request the least engine time that its
// prefill and its decoding can take. Queueing, link time, the order of arrival
// and the placement of memory cost it nothing. What no scheduler could answer
// in time even on idle engines is left out. What stays is a choice of requests
// whose prefill time and decode time both fit into the engines' time.
//
// The choice is a knapsack with two constraints. Every choice that meets both
// also meets each weighted sum of them, and under one constraint the largest
// number of requests is had by taking the cheapest first. So the smallest of
// those numbers over a grid of weights is a bound.
package bound
