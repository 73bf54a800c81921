package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks that the operations of two threads are linearizable. */
@Param(name = "id", gen = IntGen.class, conf = "0:1")
public class AttemptTableConcurrencyTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant DEADLINE = NOW.plusSeconds(10);

  private final AttemptTable table =
      AttemptTable.create(
          new AttemptTableOptions(2, 8, Duration.ofMinutes(1), Duration.ofSeconds(5)));

  @Operation
  public OfferResult offer(@Param(name = "id") int id) {
    return table.offer("attempt-" + id, DEADLINE, NOW);
  }

  @Operation
  public boolean tryStart(@Param(name = "id") int id) {
    return table.tryStart("attempt-" + id, NOW);
  }

  @Operation
  public boolean revoke(@Param(name = "id") int id) {
    return table.revoke("attempt-" + id, NOW);
  }

  @Operation
  public void finished(@Param(name = "id") int id) {
    table.finished("attempt-" + id, NOW);
  }

  @Test
  void changesStateOfAttemptsAtomically() {
    new ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(3)
        .iterations(10)
        .invocationsPerIteration(100)
        .check(AttemptTableConcurrencyTest.class);
  }
}
