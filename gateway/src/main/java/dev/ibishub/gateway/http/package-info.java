/**
 * HTTP client and page server for everything that a process sends and serves besides callers'
 * requests.
 */
package dev.ibishub.gateway.http;
