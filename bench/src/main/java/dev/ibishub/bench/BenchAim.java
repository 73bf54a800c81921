package dev.ibishub.bench;

/**
 * A target value for a result, and whether the run met it.
 *
 * @param text description of the aim
 * @param measured the result that was compared with the aim
 * @param met whether the result met the aim
 */
public record BenchAim(String text, String measured, boolean met) {}
