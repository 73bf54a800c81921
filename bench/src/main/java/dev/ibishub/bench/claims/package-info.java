/** Measures the latency and the appends that claiming a call on the log costs. */
package dev.ibishub.bench.claims;
