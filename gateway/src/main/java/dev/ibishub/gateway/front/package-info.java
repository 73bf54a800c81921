/**
 * The request path on the platform of ibishub's users: takes callers' requests, sends them to
 * targets and relays the responses.
 */
package dev.ibishub.gateway.front;
