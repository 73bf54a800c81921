package dev.ibishub.agent;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Clock and timer that the test advances. Not thread-safe. */
final class ManualTimer implements Timer, InstantSource {
  private record Task(Instant when, Runnable action) {}

  private final List<Task> tasks = new ArrayList<>();
  private Instant now;

  ManualTimer(Instant now) {
    this.now = now;
  }

  @Override
  public Instant instant() {
    return now;
  }

  @Override
  public void at(Instant when, Runnable action) {
    tasks.add(new Task(when, action));
  }

  void advanceTo(Instant time) {
    now = time;
  }

  /** Runs the first due task; returns false if none is due. */
  boolean runNext() {
    Optional<Task> due = tasks.stream().filter(task -> !task.when().isAfter(now)).findFirst();
    due.ifPresent(
        task -> {
          tasks.remove(task);
          task.action().run();
        });
    return due.isPresent();
  }
}
