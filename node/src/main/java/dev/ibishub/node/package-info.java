/**
 * Entry and agent processes for the users' platform, which connect the gateway to the platform
 * adapter.
 */
package dev.ibishub.node;
