package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class TimeoutsTest {
  private static final long LONG_MILLIS = 60_000;

  private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1);
  private final ExecutorService threads = Executors.newCachedThreadPool();

  @AfterEach
  void stop() {
    timers.shutdownNow();
    threads.shutdownNow();
  }

  // Guards against what follows from a timeout beside the thread that owns the state.
  @Test
  void timeoutOnEventLoopCompletesThere() throws Exception {
    CompletableFuture<String> future = new CompletableFuture<>();
    CompletableFuture<Thread> completedBy = future.thenApply(value -> Thread.currentThread());
    Timeouts.on(timers).complete(future, "none", 1);

    // A thread that waits for the future itself may run what follows from it.
    Thread completing = completedBy.get(10, TimeUnit.SECONDS);
    assertThat(completing).isEqualTo(timers.submit(Thread::currentThread).get());
    assertThat(future).isCompletedWithValue("none");
  }

  // Guards against a caller that is slow to take one answer and stops all other timeouts.
  @Test
  void whatBlocksAfterOneTimeoutStopsNoOther() throws Exception {
    Timeouts timeouts = Timeouts.on(timers, threads);
    CountDownLatch released = new CountDownLatch(1);
    CompletableFuture<Boolean> blocking = new CompletableFuture<>();
    CompletableFuture<Boolean> other = new CompletableFuture<>();
    CompletableFuture<Void> blocked = blocking.thenAccept(value -> awaitQuietly(released));
    timeouts.complete(blocking, true, 1);
    timeouts.fail(other, 50);

    assertThatThrownBy(() -> other.get(10, TimeUnit.SECONDS))
        .isInstanceOf(ExecutionException.class)
        .hasCauseInstanceOf(TimeoutException.class);
    released.countDown();
    blocked.get(10, TimeUnit.SECONDS);
  }

  // Guards against memory that each answered call takes until its timeout would have been.
  @Test
  void timerOfCompletedFutureIsRemoved() {
    timers.setRemoveOnCancelPolicy(true);
    CompletableFuture<String> future = new CompletableFuture<>();
    Timeouts.on(timers).complete(future, "none", LONG_MILLIS);
    assertThat(timers.getQueue()).hasSize(1);

    future.complete("reply");

    assertThat(timers.getQueue()).isEmpty();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
