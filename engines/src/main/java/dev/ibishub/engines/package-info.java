/**
 * Clients of model engines and plain services: one interface for each, with an HTTP implementation.
 * Used behind ibishub's own interface.
 */
package dev.ibishub.engines;
