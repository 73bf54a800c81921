package dev.ibishub.core;

import java.time.Instant;

/**
 * The address of an entry, as given to callers.
 *
 * @param url URL at which the entry serves callers
 * @param zone failure domain of the entry
 * @param validUntil the time after which a caller must look up the addresses again
 */
public record EntryAddress(String url, String zone, Instant validUntil) {}
