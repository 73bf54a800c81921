package dev.ibishub.engines;

/**
 * One line of a streamed generation: a piece, or the end.
 *
 * @param number the piece's number, absent in the end
 * @param text the piece's text, absent in the end
 * @param end how the answer ended, absent in a piece
 */
public record GenerationLine(Long number, String text, GenerationEnd end) {}
