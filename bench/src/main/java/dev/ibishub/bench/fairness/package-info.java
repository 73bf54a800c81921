/** Measures the latency of small workspaces while another one floods the system. */
package dev.ibishub.bench.fairness;
