/** Measurements of the decision logic, on a simulated clock or by JMH. */
package dev.ibishub.bench;
