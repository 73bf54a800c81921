/**
 * Placement of the experts of a group of ranks by demand, and the links to the agents beside the
 * ranks.
 */
package dev.ibishub.gateway.experts;
