/**
 * Small HTTP clients and servers for what a process asks and is asked besides callers' requests.
 */
package dev.ibishub.gateway.http;
