// Package weightstore is the protocol towards the weight store, which engines
// fetch models from: GET on WeightsPath followed by the model's id. It is
// rate-limited and answers 429 with Retry-After beyond its rate.
package weightstore

// WeightsPath is the prefix of the paths of models.
const WeightsPath = "/v1/weights/"
