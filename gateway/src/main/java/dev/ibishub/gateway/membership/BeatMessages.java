package dev.ibishub.gateway.membership;

import dev.ibishub.core.entries.EntryFacts;
import dev.ibishub.wire.generated.EntryBeat;
import dev.ibishub.wire.generated.EntryWord;
import dev.ibishub.wire.generated.Frame;
import java.util.List;

/** Heartbeats of entries as messages. */
final class BeatMessages {
  private BeatMessages() {}

  /**
   * Makes a heartbeat.
   *
   * @param heard what the sender hears of others
   * @param isRosterKnown whether the receiver was told of this roster before, so that the times are
   *     enough
   * @param now the sender's time, milliseconds
   */
  static Frame frame(EntryFacts own, HeardRoster heard, boolean isRosterKnown, long now) {
    EntryBeat.Builder beat = EntryBeat.newBuilder().setSelf(word(own)).setRoster(heard.number());
    heard.heardAt().forEach(heardAt -> beat.addAges((int) Math.max(0, now - heardAt)));
    if (!isRosterKnown) {
      heard.facts().forEach(facts -> beat.addHeard(word(facts)));
    }
    return Frame.newBuilder().setEntryBeat(beat).build();
  }

  private static EntryWord word(EntryFacts facts) {
    return EntryWord.newBuilder()
        .setHost(facts.host())
        .setCallerAddress(facts.callerAddress())
        .setStartedAt(facts.startedAt())
        .setReady(facts.isReady())
        .setLeaving(facts.isLeaving())
        .build();
  }

  static EntryFacts facts(EntryWord word) {
    return new EntryFacts(
        word.getHost(),
        word.getCallerAddress(),
        word.getStartedAt(),
        word.getReady(),
        word.getLeaving());
  }

  /** Returns the roster that a heartbeat holds in full; empty where it names an earlier one. */
  static List<EntryFacts> roster(EntryBeat beat) {
    return beat.getHeardList().stream().map(BeatMessages::facts).toList();
  }
}
