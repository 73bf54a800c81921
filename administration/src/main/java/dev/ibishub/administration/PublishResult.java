package dev.ibishub.administration;

/**
 * A change that is in force.
 *
 * @param recordId the change's unique name
 * @param revision the revision that it made
 */
public record PublishResult(String recordId, long revision) {}
