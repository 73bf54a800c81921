/** Measurements of the decisions: benches with a clock they set, and JMH. */
package dev.ibishub.bench;
