/**
 * Clients of the services outside: log, VM list and weight store, each behind one interface, and
 * the HTTP and JSON that all clients share.
 */
package dev.ibishub.outbound;
