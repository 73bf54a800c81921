/** Keeps the experts of a group of ranks where the demand for them is. */
package dev.ibishub.gateway.experts;
