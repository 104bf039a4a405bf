// Package replay tests placement and queueing under load in a discrete simulation,
// in steps of 5 ms. The placement tables (internal/placement) and queues
// (internal/waitqueue) of several gateways place synthetic requests, which follow
// recorded patterns of load and arrive at random, on models of engines with
// continuous batching. Time is simulated, and the same seed gives the same decisions.
// Each test checks the effect of one placement rule on targets met, requests served
// or tokens prefilled. All its code is in test files.
package replay
