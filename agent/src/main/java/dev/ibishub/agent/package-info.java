/**
 * The program {@code ibishub-agent}, which runs beside each target behind ibishub's own interface:
 * queues the attempts that entries dispatch, runs them on the target and streams the answers back.
 */
package dev.ibishub.agent;
