// Package weightstore defines the protocol of the weight store, from which engines
// fetch models by GET on WeightsPath followed by the model's ID. The store is
// rate-limited and responds with 429 and Retry-After beyond its rate.
package weightstore

// WeightsPath is the path prefix of models.
const WeightsPath = "/v1/weights/"
