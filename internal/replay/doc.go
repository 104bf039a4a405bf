// Package replay drives the decisions of several gateways through recorded
// patterns of load, against a model of batch engines, with a clock of its own.
// Its tests hold what each decision is for; they need no process and no bench.
package replay
