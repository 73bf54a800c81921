package dev.ibishub.engines;

import java.util.concurrent.CompletableFuture;

/** A plain service beside the model engines. */
public interface PlainService {
  /**
   * Makes one call, exactly once or not at all: an implementation never repeats it.
   *
   * @param call the call
   * @return the service's answer whatever its status; fails with {@code TARGET_UNREACHABLE} when
   *     the call surely did not reach the service, and with {@code OUTCOME_UNKNOWN} when it may
   *     have
   */
  CompletableFuture<ServiceAnswer> call(ServiceRequest call);
}
