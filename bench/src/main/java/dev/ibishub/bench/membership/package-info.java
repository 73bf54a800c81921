/** Measures how fast entries detect failure and recovery of each other. */
package dev.ibishub.bench.membership;
