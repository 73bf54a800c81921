/** The smallest models of what stands around the decisions: a clock, an engine, its agent. */
package dev.ibishub.bench.model;
