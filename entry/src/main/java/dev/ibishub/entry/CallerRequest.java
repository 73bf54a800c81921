package dev.ibishub.entry;

import dev.ibishub.core.Repeatability;
import dev.ibishub.wire.generated.Dispatch;
import java.time.Instant;

/**
 * Parsed and authenticated request of a caller, behind ibishub's own interface.
 *
 * @param requestId unique id
 * @param workspace name of the workspace that the caller belongs to
 * @param servedName the model or service that a target must serve
 * @param prefixHash hash of the prompt's prefix, 0 for none
 * @param estimatedTokens estimated tokens of prompt and answer together
 * @param deadline when the caller stops waiting for the answer
 * @param repeatability whether the request may run more than once
 * @param acceptsRestart whether the caller accepts an answer that starts over after some chunks
 * @param dispatch the message to the agent, without the attempt's id
 */
record CallerRequest(
    String requestId,
    String workspace,
    String servedName,
    long prefixHash,
    double estimatedTokens,
    Instant deadline,
    Repeatability repeatability,
    boolean acceptsRestart,
    Dispatch dispatch) {}
