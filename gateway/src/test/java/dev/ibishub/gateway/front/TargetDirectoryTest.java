package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.model.Target;
import org.junit.jupiter.api.Test;

final class TargetDirectoryTest {
  private final TargetDirectory directory = new TargetDirectory("zone-a");

  private static Target target(boolean leaving, long startedAt) {
    return new Target("t1", "pages", "10.0.0.1", 80, "zone-a", 6, leaving, startedAt);
  }

  @Test
  void leavingTargetGetsNoNewRequests() {
    directory.onAnnounced(target(false, 1));
    directory.onAnnounced(target(true, 1));

    assertThat(directory.usable("pages")).isEmpty();
  }

  @Test
  void droppedTargetIsGoneAtOnceWhileTheStoreAnswers() {
    directory.onAnnounced(target(false, 1));
    directory.onDropped("t1", 500, 1_000);

    assertThat(directory.usable("pages")).isEmpty();
  }

  // All requests are refused for seconds although every target is sound. The store was away; the
  // targets could not renew their entries, so these lapsed, and their end was the first thing that
  // was read when it came back.
  @Test
  void targetWhoseEntryLapsedInAnOutageIsUsedUntilItCanHaveRenewedIt() {
    directory.onAnnounced(target(false, 1));
    directory.onDropped("t1", 6_000, 10_000);
    directory.tick(12_000);
    assertThat(directory.usable("pages")).hasSize(1);

    directory.tick(10_000 + TargetDirectory.LAPSED_GRACE_MILLIS);
    assertThat(directory.usable("pages")).isEmpty();
  }

  @Test
  void renewedEntryEndsTheGrace() {
    directory.onAnnounced(target(false, 1));
    directory.onDropped("t1", 6_000, 10_000);
    directory.onAnnounced(target(false, 1));
    directory.tick(20_000);

    assertThat(directory.usable("pages")).hasSize(1);
  }

  // A target that came back sound gets no requests. It started again under its old id, and was
  // judged
  // by the failures of its earlier life.
  @Test
  void laterStartUnderTheSameIdBeginsAnew() {
    directory.onAnnounced(target(false, 1));
    directory.usable("pages").get(0).load().onUnreachable(0);
    directory.onAnnounced(target(false, 2));

    assertThat(directory.usable("pages").get(0).load().isSuspended(1)).isFalse();
  }

  @Test
  void entryOfAnEarlierLifeChangesNothing() {
    directory.onAnnounced(target(false, 2));
    directory.onAnnounced(target(true, 1));

    assertThat(directory.usable("pages")).hasSize(1);
  }
}
