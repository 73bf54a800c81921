package dev.ibishub.engines;

/**
 * One line of a streamed generation: either a piece or the end.
 *
 * @param number the piece's number, null in the end line
 * @param text the piece's text, null in the end line
 * @param end how the answer ended, null in a piece
 */
public record GenerationLine(Long number, String text, GenerationEnd end) {}
