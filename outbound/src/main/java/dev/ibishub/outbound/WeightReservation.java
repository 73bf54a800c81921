package dev.ibishub.outbound;

/**
 * A reservation of bandwidth at the weight store for weights that an engine will fetch.
 *
 * @param weights the name of a model, adapter, version or expert
 * @param bytes the number of bytes to fetch
 */
public record WeightReservation(String weights, long bytes) {}
