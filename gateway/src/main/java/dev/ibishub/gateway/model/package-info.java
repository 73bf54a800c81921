/**
 * Immutable model of routes, workspaces, services and targets, for running on the users' platform.
 */
package dev.ibishub.gateway.model;
