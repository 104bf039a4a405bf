// Package e2e tests a small deployment of separate processes on loopback: entries,
// agents, stand-in engines and services, and a stand-in table service. The tests
// kill, suspend, disconnect and stop processes while calls are in progress. All
// its code is in test files.
package e2e
