/** Process support: command line, structured logs, signals, startup and monitoring endpoints. */
package dev.ibishub.runtime;
