package dev.ibishub.gateway.membership;

import dev.ibishub.core.entries.EntryFacts;
import dev.ibishub.wire.generated.EntryBeat;
import dev.ibishub.wire.generated.EntryWord;
import dev.ibishub.wire.generated.Frame;
import java.util.Map;

/** Heartbeats of entries as messages. */
final class BeatMessages {
  private BeatMessages() {}

  /**
   * Makes a heartbeat.
   *
   * @param heard what other entries said to the sender, and when
   * @param now the sender's time, milliseconds
   */
  static Frame frame(EntryFacts own, Map<EntryFacts, Long> heard, long now) {
    EntryBeat.Builder beat = EntryBeat.newBuilder().setSelf(word(own, 0));
    heard.forEach((facts, heardAt) -> beat.addHeard(word(facts, now - heardAt)));
    return Frame.newBuilder().setEntryBeat(beat).build();
  }

  private static EntryWord word(EntryFacts facts, long ageMillis) {
    return EntryWord.newBuilder()
        .setHost(facts.host())
        .setCallerAddress(facts.callerAddress())
        .setStartedAt(facts.startedAt())
        .setReady(facts.isReady())
        .setLeaving(facts.isLeaving())
        .setAgeMillis((int) ageMillis)
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
}
