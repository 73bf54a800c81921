/** What callers' connections may take of the process: memory and descriptors. */
package dev.ibishub.gateway.callers;
