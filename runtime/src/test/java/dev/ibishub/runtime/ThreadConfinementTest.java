package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

final class ThreadConfinementTest {
  private final ThreadConfinement confinement = new ThreadConfinement();

  // Guards against state without a lock that a second thread changes unnoticed.
  @Test
  void secondThreadIsRejected() {
    confinement.check();

    assertThatCode(confinement::check).doesNotThrowAnyException();
    assertThatThrownBy(() -> CompletableFuture.runAsync(confinement::check).join())
        .isInstanceOf(CompletionException.class)
        .hasCauseInstanceOf(IllegalStateException.class)
        .hasMessageContaining("owned by " + Thread.currentThread().getName());
  }
}
