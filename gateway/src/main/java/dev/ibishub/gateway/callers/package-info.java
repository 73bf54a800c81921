/**
 * What faces callers: their connections, the order of their requests and responses, and what these
 * may take of the process in memory and descriptors.
 */
package dev.ibishub.gateway.callers;
