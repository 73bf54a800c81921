package dev.ibishub.gateway.front;

import dev.ibishub.core.entries.EntryRoster;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.gateway.membership.PeerMesh;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.Frame;
import io.netty.channel.embedded.EmbeddedChannel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Entries that exchange evidence on crashes and limits of targets over links without a network. The
 * first entries are the relays of all others. Counts these messages.
 */
final class CrashExchangeModel implements AutoCloseable {
  private static final String SERVICE = "s";

  private final List<Entry> entries = new ArrayList<>();
  private final Deque<Delivery> underWay = new ArrayDeque<>();
  private long messages;
  private long bytes;
  private int mostRuns;

  /** A message on its way over a link. */
  private record Delivery(Entry to, Link over, Frame frame) {}

  /** One entry. */
  private static final class Entry {
    private final String host;
    private final CrashDetector crashes = new CrashDetector(this::broadcast);
    private final TargetLimits limits;
    private final WireTransport transport;
    private final PeerMesh mesh;
    private final List<Side> sides = new ArrayList<>();

    Entry(int number) {
      host = "127.9.%d.%d".formatted(number / 250, 1 + number % 250);
      limits =
          new TargetLimits(
              new SharedLimits(host, LimitDivision.amongFewHolders()),
              this::broadcast,
              new PrometheusRegistry());
      transport =
          WireTransport.create(new Identity("entry-" + number, "entry", "z", 1), Optional.empty());
      mesh =
          new PeerMesh(
              new PeerMesh.Self(host, host, 1, host + ":1", number, () -> true, () -> false),
              transport,
              () -> List.of(crashes.digest()),
              new PeerMesh.Listener(
                  frame -> {},
                  (progress, sender) -> false,
                  crashes::onReport,
                  crashes::onDigest,
                  limits::onReport,
                  loads -> {},
                  turn -> {},
                  epoch -> false));
    }

    private void broadcast(Frame frame) {
      mesh.broadcast(frame);
    }
  }

  /** What one entry sends over a link to another. */
  private record Side(EmbeddedChannel channel, Entry to, Link received) {}

  /**
   * Creates linked entries without evidence.
   *
   * @param count number of entries
   * @param furtherLinks pairs of entries that are linked though neither is a relay of the other
   */
  CrashExchangeModel(int count, List<List<Integer>> furtherLinks) {
    IntStream.range(0, count).forEach(number -> entries.add(new Entry(number)));
    for (int number = 0; number < count; number++) {
      for (int relay = 0; relay < Math.min(number, EntryRoster.RELAY_COUNT); relay++) {
        link(entries.get(number), entries.get(relay));
      }
    }
    furtherLinks.forEach(pair -> link(entries.get(pair.get(0)), entries.get(pair.get(1))));
    deliverAll(Integer.MAX_VALUE);
    long now = MonotonicClock.millis();
    entries.forEach(entry -> entry.mesh.tick(now));
    deliverAll(Integer.MAX_VALUE);
    messages = 0;
    bytes = 0;
  }

  private void link(Entry one, Entry other) {
    EmbeddedChannel toOther = new EmbeddedChannel();
    EmbeddedChannel toOne = new EmbeddedChannel();
    Link linkOfOne = Link.over(toOther, new Link.Peer(other.host, "entry", "z", 1));
    Link linkOfOther = Link.over(toOne, new Link.Peer(one.host, "entry", "z", 1));
    one.sides.add(new Side(toOther, other, linkOfOther));
    other.sides.add(new Side(toOne, one, linkOfOne));
    one.mesh.onOpen(linkOfOne);
    other.mesh.onOpen(linkOfOther);
  }

  private void collect(Entry entry) {
    for (Side side : entry.sides) {
      for (Frame frame = side.channel().readOutbound();
          frame != null;
          frame = side.channel().readOutbound()) {
        if (frame.hasCrashReport() || frame.hasLimitReport()) {
          messages++;
          mostRuns = Math.max(mostRuns, frame.getCrashReport().getRunsCount());
          bytes += frame.getSerializedSize();
        }
        underWay.add(new Delivery(side.to(), side.received(), frame));
      }
    }
  }

  /**
   * Delivers messages until none is under way.
   *
   * @param most how many of them may carry evidence
   * @return whether none is under way any more
   */
  boolean deliverAll(int most) {
    return deliverAll(most, 0);
  }

  /**
   * Delivers messages one by one until none is under way.
   *
   * @param most how many of them may be counted
   * @param transitMillis how long each takes, milliseconds
   * @return whether none is under way any more
   */
  boolean deliverAll(int most, long transitMillis) {
    entries.forEach(this::collect);
    while (!underWay.isEmpty() && messages <= most) {
      Delivery next = underWay.poll();
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(transitMillis));
      next.to().mesh.onFrame(next.over(), next.frame());
      collect(next.to());
    }
    return underWay.isEmpty();
  }

  /** Lets entries know that requests with parts were answered, which no other entry is told. */
  void answer(List<Integer> numbers, Set<String> parts, long at) {
    Set<RequestTrait> traits =
        parts.stream()
            .map(part -> RequestTrait.ofPart(SERVICE, part))
            .collect(Collectors.toUnmodifiableSet());
    numbers.forEach(number -> entries.get(number).crashes.onAnswerBegun(SERVICE, traits, at));
  }

  /** Lets an entry find that a target ended under requests with parts. */
  void crash(int number, String target, int requests, List<String> parts, long at) {
    CrashDetector crashes = entries.get(number).crashes;
    IntStream.range(0, requests)
        .mapToObj(
            request ->
                new RequestTraits(
                    SERVICE,
                    "w",
                    new RequestIdentity(target + "-" + number + "-" + request),
                    parts))
        .forEach(traits -> crashes.onAbandoned(new CrashedRun(traits, target, at - 50, at)));
    crashes.onIncarnationEnded(target);
  }

  /** Lets an entry hear from a target how many requests a second it takes. */
  void limit(int number, String target, double requestsPerSecond) {
    entries
        .get(number)
        .limits
        .onResponse(target, OptionalDouble.of(requestsPerSecond), MonotonicClock.millis());
  }

  /** Links two entries anew, as after a lost link. */
  void relink(int one, int other) {
    link(entries.get(one), entries.get(other));
  }

  /** Starts one more entry, which links to the relays. */
  void addEntry() {
    Entry added = new Entry(entries.size());
    entries.add(added);
    entries.subList(0, EntryRoster.RELAY_COUNT).forEach(relay -> link(added, relay));
  }

  /** Loses all messages that an action causes. */
  void loseMessages(Runnable action) {
    action.run();
    entries.forEach(this::collect);
    underWay.clear();
  }

  /** Counts messages from now on. */
  void resetCounts() {
    messages = 0;
    bytes = 0;
    mostRuns = 0;
  }

  /** Returns the largest number of runs in a message. */
  int mostRuns() {
    return mostRuns;
  }

  /** Returns which entries suspect requests with a part. */
  List<Integer> suspecting(String part) {
    RequestTraits request =
        new RequestTraits(SERVICE, "w", new RequestIdentity("any"), List.of(part));
    return IntStream.range(0, entries.size())
        .filter(number -> !entries.get(number).crashes.mayRepeat(request))
        .boxed()
        .toList();
  }

  /** Returns the number of messages with evidence since the start or the last reset. */
  long messages() {
    return messages;
  }

  long bytes() {
    return bytes;
  }

  @Override
  public void close() {
    entries.forEach(entry -> entry.transport.close());
  }
}
