package dev.ibishub.entry;

import dev.ibishub.core.Repeatability;
import dev.ibishub.wire.generated.Dispatch;
import java.time.Instant;

/**
 * One request as the entry understood it.
 *
 * @param requestId unique name
 * @param workspace whose it is
 * @param served the name that a target must serve
 * @param prefixHash hash of the prompt's prefix, 0 for none
 * @param estimatedTokens of prompt and answer
 * @param deadline after which the answer is no longer wanted
 * @param repeatability whether it may run more than once
 * @param acceptsRestart whether the caller takes an answer that starts anew
 * @param dispatch the message to the agent, less the attempt's id
 */
record CallerRequest(
    String requestId,
    String workspace,
    String served,
    long prefixHash,
    double estimatedTokens,
    Instant deadline,
    Repeatability repeatability,
    boolean acceptsRestart,
    Dispatch dispatch) {}
