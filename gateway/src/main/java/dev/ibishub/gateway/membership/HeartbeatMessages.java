package dev.ibishub.gateway.membership;

import dev.ibishub.core.entries.EntryFacts;
import dev.ibishub.wire.generated.EntryBeat;
import dev.ibishub.wire.generated.EntryWord;
import dev.ibishub.wire.generated.Frame;
import java.util.List;

/** Converts heartbeats between entries to and from wire messages. */
final class HeartbeatMessages {
  private HeartbeatMessages() {}

  /**
   * Returns a heartbeat.
   *
   * @param own what the sender announces of itself
   * @param heard the entries that the sender hears directly
   * @param isRosterKnown whether the receiver already has this version of the roster, so that the
   *     times are enough
   * @param now the time on the sender's monotonic clock, milliseconds
   */
  static Frame frame(EntryFacts own, RosterSnapshot heard, boolean isRosterKnown, long now) {
    EntryBeat.Builder beat =
        EntryBeat.newBuilder().setSelf(toMessage(own)).setRoster(heard.version());
    heard.heardAt().forEach(heardAt -> beat.addAges((int) Math.max(0, now - heardAt)));
    if (!isRosterKnown) {
      heard.facts().forEach(facts -> beat.addHeard(toMessage(facts)));
    }
    return Frame.newBuilder().setEntryBeat(beat).build();
  }

  private static EntryWord toMessage(EntryFacts facts) {
    return EntryWord.newBuilder()
        .setHost(facts.host())
        .setCallerAddress(facts.callerAddress())
        .setStartedAt(facts.startedAt())
        .setReady(facts.isReady())
        .setLeaving(facts.isLeaving())
        .build();
  }

  static EntryFacts facts(EntryWord announcement) {
    return new EntryFacts(
        announcement.getHost(),
        announcement.getCallerAddress(),
        announcement.getStartedAt(),
        announcement.getReady(),
        announcement.getLeaving());
  }

  /** Returns the roster in a heartbeat; empty if the heartbeat only refers to one sent earlier. */
  static List<EntryFacts> roster(EntryBeat beat) {
    return beat.getHeardList().stream().map(HeartbeatMessages::facts).toList();
  }
}
