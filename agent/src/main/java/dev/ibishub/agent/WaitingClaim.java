package dev.ibishub.agent;

import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import java.util.concurrent.CompletableFuture;

/**
 * A claim that waits for the log.
 *
 * @param request the claim
 * @param result to be completed with what became of it
 */
record WaitingClaim(ClaimRequest request, CompletableFuture<ClaimResult> result) {}
