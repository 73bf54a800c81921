package dev.ibishub.administration;

/**
 * Result of a configuration change that was accepted.
 *
 * @param recordId the unique id of the change's log record
 * @param revision the revision that the change created
 */
public record PublishResult(String recordId, long revision) {}
