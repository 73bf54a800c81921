/** What the product knows of routes, workspaces, services and targets. All types are immutable. */
package dev.ibishub.gateway.model;
