/**
 * What operators do: the configuration on the log and who follows it, the audit trail, the operator
 * API and its tokens.
 */
package dev.ibishub.administration;
