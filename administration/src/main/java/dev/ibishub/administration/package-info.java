/**
 * Administration by operators: publishing and following the configuration on the log, the audit
 * trail, the operator API and its bearer tokens. Part of running ibishub behind its own interface.
 */
package dev.ibishub.administration;
