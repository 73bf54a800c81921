/**
 * Stand-ins for the outside systems around ibishub's own interface, and the load tool. Not shipped.
 */
package dev.ibishub.standins;
