// Package soak is a randomized fault test of the gateway. It starts gateway
// processes with stand-ins for the metadata store and the replicas, sends calls,
// and injects a seeded random series of faults: signals to the processes, and
// faults of the store, the replicas and the network. It then checks the gateway's
// guarantees against the responses that callers received and the requests that
// replicas executed. It contains only tests.
package soak
