package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SerialExecutorTest {
  private final SerialExecutor executor = new SerialExecutor(Runnable::run);
  private final List<String> run = new ArrayList<>();

  // Guards against an executor that runs nothing any more once a task has failed.
  @Test
  void tasksAfterOneThatFailsRun() {
    executor.execute(
        () -> {
          throw new IllegalStateException("expected by this test");
        });
    executor.execute(() -> run.add("next"));

    assertThat(run).containsExactly("next");
  }

  @Test
  void taskOfTaskRunsAfterIt() {
    executor.execute(
        () -> {
          executor.execute(() -> run.add("inner"));
          run.add("outer");
        });

    assertThat(run).containsExactly("outer", "inner");
  }
}
