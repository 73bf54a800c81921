package dev.ibishub.gateway.records;

/**
 * How a topic is followed.
 *
 * @param topic the topic
 * @param periodMillis time from one confirmation of what is known to the next read, milliseconds
 * @param turnMillis what each earlier entry in the order of reading adds to it, milliseconds
 * @param waitMillis how long the store may hold a read back for a first record, milliseconds
 */
public record FollowerOptions(String topic, long periodMillis, long turnMillis, long waitMillis) {}
