/**
 * Follows the keyed logs of the users' platform, by reading them and by batches from other entries.
 */
package dev.ibishub.gateway.records;
