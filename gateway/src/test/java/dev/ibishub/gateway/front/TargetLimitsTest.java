package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.ColdLimit;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.gateway.model.Target;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class TargetLimitsTest {
  private static final Target PAGES = new Target("p", "pages", "10.0.0.1", 80, "z", 4, false, 1);
  private static final Target OTHER = new Target("o", "other", "10.0.0.2", 80, "z", 4, false, 1);

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final TargetLimits limits =
      new TargetLimits(
          new SharedLimits("own", LimitDivision.amongFewHolders()),
          frame -> {},
          service ->
              service.equals("pages") ? Optional.of(new ColdLimit(2, 1.5, 5)) : Optional.empty(),
          registry);

  private double withheldFromPages() {
    return registry.scrape().stream()
        .filter(snapshot -> snapshot.getMetadata().getName().contains("withheld"))
        .flatMap(snapshot -> ((CounterSnapshot) snapshot).getDataPoints().stream())
        .filter(point -> point.getLabels().contains("service"))
        .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
        .sum();
  }

  // Guards against a service without a limit for cold targets that is limited as they announce
  // themselves as cold, and against one with a limit that is not.
  @Test
  void onlyServiceWithColdLimitIsLimitedUntilTargetIsWarm() {
    limits.tickCold(Set.of("own"), 0);
    limits.onCold(PAGES, false, 1_000, 0);
    limits.onCold(OTHER, false, 1_000, 0);
    assertThat(limits.allows(OTHER.incarnation(), 10)).isTrue();
    assertThat(limits.allows(PAGES.incarnation(), 10)).isFalse();
    assertThat(limits.allows(PAGES.incarnation(), 500)).isTrue();
    limits.onSent("pages", PAGES.incarnation(), 500);
    assertThat(limits.allows(PAGES.incarnation(), 501)).isFalse();
    assertThat(withheldFromPages()).isEqualTo(2);

    limits.tickCold(Set.of("own"), 1_000);
    assertThat(limits.allows(PAGES.incarnation(), 1_000)).isTrue();
  }

  // Guards against state of incarnations that ended, which is kept until they would be warm.
  @Test
  void limitEndsWithItsIncarnation() {
    limits.tickCold(Set.of("own"), 0);
    limits.onCold(PAGES, false, 60_000, 0);
    assertThat(limits.allows(PAGES.incarnation(), 10)).isFalse();

    limits.onEnded(PAGES.incarnation());
    assertThat(limits.allows(PAGES.incarnation(), 10)).isTrue();
  }
}
