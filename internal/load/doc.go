// Package load generates calls and holds their outcomes against the ledgers of
// the stand-in back ends. Calls are sent on a schedule fixed by a seed, whether
// or not earlier ones were answered, and latency counts from the intended
// start, so that a stall of the system is not hidden by fewer calls.
package load
