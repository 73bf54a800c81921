package dev.ibishub.core;

import java.time.Instant;

/**
 * An address that a caller may use.
 *
 * @param url of the entry
 * @param zone failure domain of the entry
 * @param validUntil when the caller has to ask again
 */
public record EntryAddress(String url, String zone, Instant validUntil) {}
