/** The request path: takes callers' requests, sends them to targets and relays the answers. */
package dev.ibishub.gateway.front;
