/** Simulation models for the measurements: a clock, an engine, a target and a workload. */
package dev.ibishub.bench.model;
