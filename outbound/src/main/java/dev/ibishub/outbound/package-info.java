/**
 * Clients of the platform's log, VM list and weight store, each with one interface and an HTTP
 * implementation, and the HTTP and JSON code that all clients share. Used behind ibishub's own
 * interface.
 */
package dev.ibishub.outbound;
