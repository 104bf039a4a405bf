// Package integration tests the entry and agent cores together in a
// deterministic simulation: one thread, one simulated clock, and a network that
// drops, duplicates, delays and reorders messages. Processes, links, endpoints
// and the store fail on command, and an oracle checks the guarantees given to
// callers after each step. All its code is in test files.
package integration
