/**
 * A Java agent for tests that records in which order threads take locks, and a check that fails
 * where two threads could wait for each other.
 */
package dev.ibishub.lockorder;
