package dev.ibishub.agent;

import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import java.util.concurrent.CompletableFuture;

/**
 * A claim that the log has not confirmed yet.
 *
 * @param request the claim
 * @param result completed with the result of the claim, or with the reason of its refusal
 */
record WaitingClaim(ClaimRequest request, CompletableFuture<ClaimResult> result) {}
