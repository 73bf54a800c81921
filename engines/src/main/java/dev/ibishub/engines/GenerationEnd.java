package dev.ibishub.engines;

/**
 * How an answer ended.
 *
 * @param pieces the number of pieces in the complete answer
 * @param promptTokens the number of tokens in the prompt
 * @param generatedTokens the number of tokens generated
 * @param finishReason {@code stop}, {@code length} or {@code cancelled}
 */
public record GenerationEnd(
    long pieces, long promptTokens, long generatedTokens, String finishReason) {}
