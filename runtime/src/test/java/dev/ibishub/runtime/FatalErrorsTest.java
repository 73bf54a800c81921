package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class FatalErrorsTest {
  /** A program whose only working thread ends with an error, while another one goes on. */
  static final class Program {
    private Program() {}

    public static void main(String[] arguments) throws InterruptedException {
      FatalErrors.exitOnError();
      new Thread(
              () -> {
                throw new OutOfMemoryError("thrown on purpose");
              })
          .start();
      TimeUnit.MINUTES.sleep(1);
    }
  }

  // Guards against a process that goes on without the thread that has met a lack of memory.
  @Test
  void processEndsWithStatusAndReason() throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Program.class.getName())
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

    assertThat(process.waitFor()).isEqualTo(FatalErrors.FATAL_ERROR_STATUS);
    assertThat(output).contains("process.failed").contains("thrown on purpose");
  }
}
