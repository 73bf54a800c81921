package dev.ibishub.engines;

import java.util.concurrent.CompletableFuture;

/** Client of a plain service, which is any HTTP service that is not a model engine. */
public interface PlainService {
  /**
   * Sends a call at most once: implementations never retry it.
   *
   * @param call the call
   * @return the service's answer, whatever its status; cancelling it closes the connection of the
   *     call, which may have run; fails with {@code TARGET_UNREACHABLE} if the call certainly did
   *     not reach the service, and with {@code OUTCOME_UNKNOWN} if it may have
   */
  CompletableFuture<ServiceAnswer> call(ServiceRequest call);
}
