package dev.ibishub.engines;

/**
 * How an answer ended.
 *
 * @param pieces how many pieces the whole answer has
 * @param promptTokens tokens of the prompt
 * @param generatedTokens tokens generated
 * @param finishReason {@code stop}, {@code length} or {@code cancelled}
 */
public record GenerationEnd(
    long pieces, long promptTokens, long generatedTokens, String finishReason) {}
