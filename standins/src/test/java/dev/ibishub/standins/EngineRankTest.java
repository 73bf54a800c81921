package dev.ibishub.standins;

import static dev.ibishub.standins.StandInFixture.call;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.engines.CacheEvents;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineRankTest {
  private static final Instant NOW = Instant.parse("2026-03-01T08:00:00Z");

  private static EngineOptions options(int batchLimit, int cachedPrefixes, int gapEvery) {
    return new EngineOptions(
        "",
        1,
        4,
        List.of("dictionary"),
        5,
        batchLimit,
        1,
        16,
        cachedPrefixes,
        1000,
        gapEvery,
        0,
        true,
        true,
        0,
        60);
  }

  private static EngineRank rank(EngineOptions options) {
    return new EngineRank(options, new RankMap(new byte[4], true), 1);
  }

  @Test
  void runsHigherPriorityFirst() {
    EngineRank rank = rank(options(1, 10, 0));
    GeneratedStream low = rank.start(call("low", "ibis", 5, 0));
    GeneratedStream high = rank.start(call("high", "ibis", 5, 9));
    rank.step(NOW);
    assertThat(high.pieces()).isEqualTo(1);
    assertThat(low.pieces()).isZero();
  }

  @Test
  void skipsPrefillStepsOfCachedPrefix() {
    EngineRank rank = rank(options(8, 10, 0));
    GeneratedStream first = rank.start(call("first", "x".repeat(256), 5, 0));
    rank.step(NOW);
    GeneratedStream second = rank.start(call("second", "x".repeat(256), 5, 0));
    rank.step(NOW);
    assertThat(first.pieces()).isZero();
    assertThat(second.pieces()).isEqualTo(1);
  }

  @Test
  void showsCacheEventsWithLagAndGaps() {
    PrefixCache cache = new PrefixCache(options(8, 10, 2));
    cache.admit("x".repeat(256), NOW);
    assertThat(cache.events(0, NOW).events()).isEmpty();
    assertThat(cache.events(0, NOW.plusSeconds(1)).events())
        .extracting(CacheEvents.Event::sequence)
        .containsExactly(0L, 2L);
  }

  @Test
  void evictsLeastRecentlyUsedPrefix() {
    PrefixCache cache = new PrefixCache(options(8, 1, 0));
    cache.admit("x".repeat(64), NOW);
    cache.admit("y".repeat(64), NOW);
    assertThat(cache.admit("x".repeat(64), NOW)).isZero();
    assertThat(cache.events(0, NOW.plusSeconds(1)).events())
        .extracting(CacheEvents.Event::added)
        .containsExactly(true, true, false, true, false);
  }

  @Test
  void reportsLoadWithLag() {
    EngineOptions lagging =
        new EngineOptions(
            "", 1, 4, List.of("dictionary"), 5, 8, 1, 16, 10, 0, 0, 2000, true, true, 0, 60);
    EngineRank rank = rank(lagging);
    rank.sampleLoad(NOW);
    rank.start(call("a", "ibis", 5, 0));
    assertThat(rank.load(NOW.plusSeconds(1)).waiting()).isZero();
    assertThat(rank.load(NOW.plusSeconds(3)).waiting()).isEqualTo(1);
  }
}
