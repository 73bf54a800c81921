package dev.ibishub.standins;

import static dev.ibishub.standins.StandInFixture.call;
import static dev.ibishub.standins.StandInFixture.codeOf;
import static dev.ibishub.standins.StandInFixture.expected;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.engines.EngineOrder;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.GenerationEnd;
import dev.ibishub.engines.HttpModelEngine;
import dev.ibishub.engines.ModelEngine;
import org.junit.jupiter.api.Test;

class ModelEngineTest {
  private static final String[] QUICK = {"--step-millis", "1"};
  private static final Faults CUT_AFTER_THREE = new Faults(false, false, 0, 0, 1, 3, 0);

  private final StringBuilder text = new StringBuilder();

  @Test
  void anAnswerComesWholeAndInOrder() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      GenerationCall call = call("a", "ibis", 20, 0);
      GenerationEnd end = engine(fixture).generate(call, this::take).join();
      assertThat(end.generatedTokens()).isEqualTo(20);
      assertThat(text).hasToString(expected(call));
    }
  }

  /**
   * The engine's connection is cut in the middle of an answer. The pieces so far look like a short
   * answer; without the end line they must be told as failed, and the rest be had by joining again.
   */
  @Test
  void aCutAnswerFailsAndGoesOnFromWhereItBroke() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      fixture.inject(CUT_AFTER_THREE);
      GenerationCall call = call("a", "ibis", 20, 0);
      assertThat(codeOf(engine(fixture).generate(call, this::take)))
          .isEqualTo(ResultCode.ENGINE_FAILED);
      engine(fixture).resume("a", 3, this::take).join();
      assertThat(text).hasToString(expected(call));
    }
  }

  @Test
  void anEngineThatCannotResumeSaysSo() throws Exception {
    try (StandInFixture fixture =
        StandInFixture.start("engine", "--step-millis", "1", "--resume", "false")) {
      fixture.inject(CUT_AFTER_THREE);
      assertThat(codeOf(engine(fixture).generate(call("a", "ibis", 20, 0), this::take)))
          .isEqualTo(ResultCode.ENGINE_FAILED);
      assertThat(codeOf(engine(fixture).resume("a", 3, this::take)))
          .isEqualTo(ResultCode.STREAM_POSITION_LOST);
    }
  }

  @Test
  void aStreamIdIsTakenOnce() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      engine(fixture).generate(call("a", "ibis", 2, 0), this::take).join();
      assertThat(codeOf(engine(fixture).generate(call("a", "ibis", 2, 0), this::take)))
          .isEqualTo(ResultCode.ALREADY_RUNNING);
    }
  }

  @Test
  void aModelNotLoadedIsRefusedAndNothingStarts() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", "--served", "coding")) {
      assertThat(codeOf(engine(fixture).generate(call("a", "ibis", 2, 0), this::take)))
          .isEqualTo(ResultCode.UNKNOWN_MODEL);
      assertThat(fixture.audit("/control/streams", EngineStandIn.StreamAudit.class).started())
          .isEmpty();
    }
  }

  @Test
  void nobodyListeningSurelyDidNotTakeTheCall() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      ModelEngine engine = HttpModelEngine.create(StandInFixture.unusedAddress(), fixture.client());
      assertThat(codeOf(engine.generate(call("a", "ibis", 2, 0), this::take)))
          .isEqualTo(ResultCode.TARGET_UNREACHABLE);
    }
  }

  @Test
  void aCancelledAnswerEndsAsCancelled() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      ModelEngine engine = engine(fixture);
      GenerationEnd end =
          engine
              .generate(
                  call("a", "ibis", 100_000, 0),
                  (number, piece) -> {
                    if (number == 0) {
                      engine.cancel("a").join();
                    }
                  })
              .join();
      assertThat(end.finishReason()).isEqualTo("cancelled");
    }
  }

  /**
   * A leader that lost its lease while paused wakes and unloads a model that callers still use. An
   * engine that checks fencing tokens refuses the old number.
   */
  @Test
  void anOldFencingTokenIsRefusedByAnEngineThatChecks() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      engine(fixture).order(order("new", EngineOrder.Kind.LOAD, 7, "coding")).join();
      assertThat(codeOf(engine(fixture).order(order("old", EngineOrder.Kind.UNLOAD, 6, "coding"))))
          .isEqualTo(ResultCode.STALE_FENCING_TOKEN);
      assertThat(engine(fixture).state().join().served()).contains("coding");
    }
  }

  @Test
  void anOldFencingTokenIsObeyedByAnEngineThatIgnoresIt() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", "--check-fencing", "false")) {
      engine(fixture).order(order("new", EngineOrder.Kind.LOAD, 7, "coding")).join();
      engine(fixture).order(order("old", EngineOrder.Kind.UNLOAD, 6, "coding")).join();
      assertThat(engine(fixture).state().join().served()).doesNotContain("coding");
    }
  }

  /** An order takes effect and its answer is lost: only reading the state tells that it did. */
  @Test
  void aLostAnswerToAnOrderIsUndecidedAndTheStateTells() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      fixture.inject(Faults.none().withLoseNextAnswers(1));
      assertThat(codeOf(engine(fixture).order(order("x", EngineOrder.Kind.LOAD, 1, "coding"))))
          .isEqualTo(ResultCode.ORDER_UNDECIDED);
      assertThat(engine(fixture).state().join().lastOrderId()).isEqualTo("x");
    }
  }

  private static ModelEngine engine(StandInFixture fixture) {
    return HttpModelEngine.create(fixture.base(), fixture.client());
  }

  private static EngineOrder order(
      String id, EngineOrder.Kind kind, long fencingToken, String model) {
    return new EngineOrder(id, kind, fencingToken, model, "", "", "");
  }

  private void take(long number, String piece) {
    text.append(piece);
  }
}
