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
  void streamsWholeAnswerInOrder() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      GenerationCall call = call("a", "ibis", 20, 0);
      GenerationEnd end = engine(fixture).generate(call, this::addPiece).join();
      assertThat(end.generatedTokens()).isEqualTo(20);
      assertThat(text).hasToString(expected(call));
    }
  }

  /**
   * Guards against taking the pieces before a cut connection for a short answer. Without an end
   * line the call must fail, and resuming must return the rest.
   */
  @Test
  void failsCutAnswerAndResumesWhereItBroke() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      fixture.inject(CUT_AFTER_THREE);
      GenerationCall call = call("a", "ibis", 20, 0);
      assertThat(codeOf(engine(fixture).generate(call, this::addPiece)))
          .isEqualTo(ResultCode.ENGINE_FAILED);
      engine(fixture).resume("a", 3, this::addPiece).join();
      assertThat(text).hasToString(expected(call));
    }
  }

  @Test
  void refusesResumptionWhenEngineCannotResume() throws Exception {
    try (StandInFixture fixture =
        StandInFixture.start("engine", "--step-millis", "1", "--resume", "false")) {
      fixture.inject(CUT_AFTER_THREE);
      assertThat(codeOf(engine(fixture).generate(call("a", "ibis", 20, 0), this::addPiece)))
          .isEqualTo(ResultCode.ENGINE_FAILED);
      assertThat(codeOf(engine(fixture).resume("a", 3, this::addPiece)))
          .isEqualTo(ResultCode.STREAM_POSITION_LOST);
    }
  }

  @Test
  void refusesStreamIdThatWasUsedBefore() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      engine(fixture).generate(call("a", "ibis", 2, 0), this::addPiece).join();
      assertThat(codeOf(engine(fixture).generate(call("a", "ibis", 2, 0), this::addPiece)))
          .isEqualTo(ResultCode.ALREADY_RUNNING);
    }
  }

  @Test
  void refusesModelThatIsNotLoadedAndStartsNothing() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", "--served", "coding")) {
      assertThat(codeOf(engine(fixture).generate(call("a", "ibis", 2, 0), this::addPiece)))
          .isEqualTo(ResultCode.UNKNOWN_MODEL);
      assertThat(fixture.audit("/control/streams", EngineStandIn.StreamAudit.class).started())
          .isEmpty();
    }
  }

  @Test
  void reportsTargetUnreachableWhenNothingListens() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      ModelEngine engine = HttpModelEngine.create(StandInFixture.unusedAddress(), fixture.client());
      assertThat(codeOf(engine.generate(call("a", "ibis", 2, 0), this::addPiece)))
          .isEqualTo(ResultCode.TARGET_UNREACHABLE);
    }
  }

  @Test
  void endsCancelledAnswerAsCancelled() throws Exception {
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
   * Guards against a deposed leader that resumes after a pause and unloads a model still in use. An
   * engine that checks fencing tokens refuses its old token.
   */
  @Test
  void refusesOldFencingTokenWhenEngineChecks() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", QUICK)) {
      engine(fixture).order(order("new", EngineOrder.Kind.LOAD, 7, "coding")).join();
      assertThat(codeOf(engine(fixture).order(order("old", EngineOrder.Kind.UNLOAD, 6, "coding"))))
          .isEqualTo(ResultCode.STALE_FENCING_TOKEN);
      assertThat(engine(fixture).state().join().served()).contains("coding");
    }
  }

  @Test
  void obeysOldFencingTokenWhenEngineDoesNotCheck() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", "--check-fencing", "false")) {
      engine(fixture).order(order("new", EngineOrder.Kind.LOAD, 7, "coding")).join();
      engine(fixture).order(order("old", EngineOrder.Kind.UNLOAD, 6, "coding")).join();
      assertThat(engine(fixture).state().join().served()).doesNotContain("coding");
    }
  }

  /**
   * An order takes effect but its answer is lost, so only the engine's state shows that it was
   * carried out.
   */
  @Test
  void reportsOrderUndecidedWhenAnswerIsLostAndStateShowsIt() throws Exception {
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

  private void addPiece(long number, String piece) {
    text.append(piece);
  }
}
