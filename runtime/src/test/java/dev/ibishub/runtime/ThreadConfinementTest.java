package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

final class ThreadConfinementTest {
  private final ThreadConfinement confinement = new ThreadConfinement();

  // Guards against state without a lock that a second thread changes, and against its call being
  // dropped unnoticed where it follows from a future.
  @Test
  void secondThreadIsRejectedAndLogged() {
    List<String> logged = new CopyOnWriteArrayList<>();
    Logger logger = Logger.getLogger(ThreadConfinement.class.getName());
    Handler handler = new MessageHandler(logged);
    logger.addHandler(handler);
    try {
      confinement.check();
      assertThatCode(confinement::check).doesNotThrowAnyException();

      assertThatThrownBy(() -> CompletableFuture.runAsync(confinement::check).join())
          .isInstanceOf(CompletionException.class)
          .hasCauseInstanceOf(IllegalStateException.class)
          .hasMessageContaining("owned by " + Thread.currentThread().getName());
      assertThat(logged).singleElement().asString().contains("event=thread.rejected");
    } finally {
      logger.removeHandler(handler);
    }
  }

  private static final class MessageHandler extends Handler {
    private final List<String> messages;

    MessageHandler(List<String> messages) {
      this.messages = messages;
    }

    @Override
    public void publish(LogRecord record) {
      messages.add(record.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
