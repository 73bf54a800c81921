/** The operators' command-line program {@code ibishub}. */
package dev.ibishub.cli;
