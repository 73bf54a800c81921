package dev.ibishub.gateway.records;

/**
 * Topic and read timing of a {@link RecordFollower}.
 *
 * @param topic name of the log to follow
 * @param periodMillis time from the last confirmation of the local copy to the next read by the
 *     first entry in order, milliseconds
 * @param staggerMillis stagger: time that each preceding entry in the order of reading adds to the
 *     period, milliseconds
 * @param waitMillis long-poll timeout: time that the store may hold a read open until there is a
 *     record, milliseconds; 0 for none
 */
public record FollowerOptions(
    String topic, long periodMillis, long staggerMillis, long waitMillis) {}
