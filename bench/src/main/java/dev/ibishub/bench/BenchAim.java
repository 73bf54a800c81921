package dev.ibishub.bench;

/**
 * An aim and whether the run reached it.
 *
 * @param text the aim
 * @param measured the figure that decides
 * @param met whether it was reached
 */
public record BenchAim(String text, String measured, boolean met) {}
