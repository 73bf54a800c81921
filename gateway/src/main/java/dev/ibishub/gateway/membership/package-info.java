/** Discovery of the other entries and detection of their loss by heartbeats. */
package dev.ibishub.gateway.membership;
