// Package e2e tests the binary: daemons, stand-in backend servers and a stand-in
// platform as separate processes on loopback.
package e2e
