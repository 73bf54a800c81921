package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class StartupTest {
  /** A program whose start fails while another of its threads runs for ever. */
  static final class FailingProgram {
    public static void main(String[] arguments) {
      new Thread(FailingProgram::waitForever).start();
      Callable<Object> start =
          () -> {
            throw new BindException("Address already in use");
          };
      Startup.startOrExit(start);
    }

    private static void waitForever() {
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  // Guards against an agent that stays alive without serving: its port was in use, its main thread
  // ended with the exception, and the remaining threads kept the process running, so that its
  // target got no requests until the agent was stopped by hand.
  @Test
  void exitsWhenStartFailsWhileOtherThreadsRun() throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                FailingProgram.class.getName())
            .redirectErrorStream(true)
            .start();
    try {
      String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

      assertThat(process.waitFor()).isEqualTo(1);
      assertThat(log).contains("start.failed").contains("Address already in use");
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void returnsResultOfSuccessfulStart() {
    assertThat(Startup.startOrExit(() -> "an entry")).isEqualTo("an entry");
  }
}
