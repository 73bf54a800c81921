package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ranks.RankCommand.Kind;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class MapSwitchTest {
  private static final int RANKS = 3;
  private static final long VERSION = 5;

  private final MapSwitch mapSwitch = new MapSwitch(RANKS, new CountingTokens());

  private static final class CountingTokens implements TokenSource {
    private long last;

    @Override
    public long next() {
      last += 10;
      return last;
    }

    @Override
    public void outbid() {}
  }

  private void hear(int rank, long preparedVersion, long now) {
    mapSwitch.onView(
        rank, new RankView(1, true, 40, 0, preparedVersion, 0, 0, OptionalLong.empty(), now));
  }

  private void hearAll(long preparedVersion, long now) {
    IntStream.range(0, RANKS).forEach(rank -> hear(rank, preparedVersion, now));
  }

  private List<Kind> kindsAt(long now) {
    return mapSwitch.tick(now).stream().map(RankCommand::kind).toList();
  }

  @Test
  void stepIsHeldOnceAllArePrepared() {
    hearAll(0, 0);
    mapSwitch.start(VERSION, 0);
    assertThat(kindsAt(0)).containsOnly(Kind.PREPARE);

    hearAll(VERSION, 100);

    assertThat(kindsAt(110)).containsExactly(Kind.HOLD);
  }

  // Every stream of a group stands still for four seconds. One VM was paused while a map was being
  // prepared; its rank's last word was good, so a step was held, and then the rank could neither be
  // armed nor be shown not to be armed until the VM woke.
  @Test
  void stepIsNotHeldWhileOneRankIsSilent() {
    hearAll(0, 0);
    mapSwitch.start(VERSION, 0);
    hearAll(VERSION, 100);
    long later = 100 + MapSwitch.HEARD_MILLIS + 1;
    hear(0, VERSION, later);
    hear(1, VERSION, later);

    assertThat(kindsAt(later)).doesNotContain(Kind.HOLD);

    hear(2, VERSION, later + 10);
    assertThat(kindsAt(later + 10)).containsExactly(Kind.HOLD);
  }
}
