// Package replay tests placement and queueing under load in a discrete simulation.
// The tables and queues of several gateways place synthetic requests, shaped like
// recorded load, on models of engines with continuous batching. Time is simulated,
// and the same seed gives the same decisions. Each test checks the effect of one
// placement rule on targets met, requests served or tokens prefilled. All its code
// is in test files.
package replay
