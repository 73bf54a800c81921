package dev.ibishub.outbound;

/**
 * What an engine means to read from the weight store.
 *
 * @param weights the name of a model, adapter, version or expert
 * @param bytes how much will be read
 */
public record WeightReservation(String weights, long bytes) {}
