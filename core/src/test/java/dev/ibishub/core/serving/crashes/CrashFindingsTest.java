package dev.ibishub.core.serving.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests how findings are divided among messages. */
final class CrashFindingsTest {
  private static final int TRAITS = 64;
  private static final List<String> PARTS =
      IntStream.range(0, 31).mapToObj(part -> "p" + part).toList();

  private static CrashedRun run(int number, List<String> parts) {
    return new CrashedRun(
        new RequestTraits("s", "w", new RequestIdentity("r" + number), parts), "t", 0, 1);
  }

  private static int traits(CrashFindings page) {
    return page.runs().stream().mapToInt(run -> run.request().all().size()).sum();
  }

  // Guards against a message that holds the receiver's event loop long, as its few runs have many
  // parts.
  @Test
  void pageHoldsFewTraits() {
    List<CrashedRun> runs = IntStream.range(0, 9).mapToObj(number -> run(number, PARTS)).toList();
    List<CrashFindings> pages = CrashFindings.of(runs, List.of(), List.of()).pages(TRAITS);

    assertThat(pages).allMatch(page -> traits(page) <= TRAITS);
    assertThat(pages).flatExtracting(CrashFindings::runs).containsExactlyElementsOf(runs);
  }

  @Test
  void runWithMoreTraitsThanPageHoldsHasPageOfItsOwn() {
    List<CrashedRun> runs = List.of(run(1, List.of()), run(2, PARTS), run(3, List.of()));

    assertThat(CrashFindings.of(runs, List.of(), List.of()).pages(8))
        .extracting(CrashFindings::runs)
        .containsExactly(runs.subList(0, 1), runs.subList(1, 2), runs.subList(2, 3));
  }
}
