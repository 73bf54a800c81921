/**
 * Decides which requests of a service with model engines are sent, wait at the entry or are refused
 * while capacity is contested. Without I/O, clock or randomness of its own.
 */
package dev.ibishub.core.serving.admission;
