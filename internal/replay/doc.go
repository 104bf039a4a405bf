// Package replay tests placement and queueing under load in a discrete simulation,
// in steps of 5 ms. The placement tables (internal/placement) and queues
// (internal/waitqueue) of several gateways place synthetic requests on models of
// engines with continuous batching, of two kinds that differ in prefill speed and chunk.
// The requests belong to two sets of three workloads, whose parameters are constants modelled
// on recorded load, and arrive at random. Time is simulated, and the same seed gives
// the same decisions. Each test checks the effect of one placement rule on targets
// met, requests served or tokens prefilled, or that engines get no more requests than
// the limits that they name. All its code is in test files.
//
// Terms of internal/placement that the tests use: the affinity endpoints of a session
// are the two engines, primary and secondary, that its requests prefer because the
// shared parts of their prompts are cached there. Spillover is the placement of a
// long prompt on the secondary one while the primary one is healthy. The decode pool
// is the engines that take decode-heavy requests first. A digest is the state that a
// gateway sends to its peers.
package replay
