/** Which entries there are, by their own heartbeats. */
package dev.ibishub.gateway.membership;
