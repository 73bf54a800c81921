/** What each process needs to run: structured logs, stop signals and the metrics page. */
package dev.ibishub.runtime;
