package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.CacheEvents;
import dev.ibishub.engines.EngineLoad;
import dev.ibishub.engines.EngineOrder;
import dev.ibishub.engines.EngineState;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One rank of an engine group: its queue and batch, its prefix cache and what it has loaded. Not
 * thread-safe: the group's lock guards it.
 */
final class EngineRank {
  private static final int MAXIMUM_KEPT_STREAMS = 20_000;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final long THROUGHPUT_WINDOW_MILLIS = 1000;

  private final EngineOptions options;
  private final RankMap map;
  private final PrefixCache cache;
  private final TreeSet<QueuedStream> waiting =
      new TreeSet<>(
          Comparator.comparingInt((QueuedStream entry) -> -entry.stream().call().priority())
              .thenComparingLong(QueuedStream::arrival));
  private final List<GeneratedStream> running = new ArrayList<>();
  private final Map<String, GeneratedStream> streams = new LinkedHashMap<>();
  private final Set<String> startedStreamIds = new HashSet<>();
  private final Deque<StepTokens> recentTokens = new ArrayDeque<>();
  private final Deque<EngineLoad> loads = new ArrayDeque<>();
  private final Set<String> served;
  private long engineStart;
  private long arrivals;
  private String role = "both";
  private long highestFencingToken;
  private String lastOrderId = "";

  private record QueuedStream(GeneratedStream stream, long arrival) {}

  private record StepTokens(Instant at, int tokens) {}

  EngineRank(EngineOptions options, RankMap map, long engineStart) {
    this.options = options;
    this.map = map;
    this.cache = new PrefixCache(options);
    this.served = new TreeSet<>(options.served());
    this.engineStart = engineStart;
  }

  RankMap map() {
    return map;
  }

  long engineStart() {
    return engineStart;
  }

  boolean idle() {
    return running.isEmpty() && waiting.isEmpty();
  }

  Set<String> startedStreamIds() {
    return startedStreamIds;
  }

  GeneratedStream start(GenerationCall call) {
    requireServed(call);
    if (!startedStreamIds.add(call.streamId())) {
      throw new ResultException(ResultCode.ALREADY_RUNNING, "stream id was used before");
    }
    GeneratedStream stream = newStream(call);
    streams.put(call.streamId(), stream);
    dropOldestFinished();
    waiting.add(new QueuedStream(stream, arrivals++));
    return stream;
  }

  /**
   * Returns the answer to resume.
   *
   * @throws ResultException when the engine cannot resume or doesn't know the stream
   */
  GeneratedStream find(String streamId) {
    GeneratedStream stream = streams.get(streamId);
    if (!options.resumes() || stream == null) {
      throw new ResultException(ResultCode.STREAM_POSITION_LOST, "stream cannot be joined");
    }
    return stream;
  }

  void cancel(String streamId) {
    GeneratedStream stream = streams.get(streamId);
    if (stream != null) {
      stream.cancel();
    }
  }

  /** Runs one step: admits waiting answers to the batch, then advances each answer in it. */
  void step(Instant now) {
    waiting.removeIf(entry -> entry.stream().finished());
    while (running.size() < options.batchLimit() && !waiting.isEmpty()) {
      admit(waiting.pollFirst().stream(), now);
    }
    int tokens = running.stream().mapToInt(GeneratedStream::advance).sum();
    running.removeIf(GeneratedStream::finished);
    recentTokens.add(new StepTokens(now, tokens));
    dropOldTokens(now);
  }

  double tokensPerSecond(Instant now) {
    dropOldTokens(now);
    return recentTokens.stream().mapToInt(StepTokens::tokens).sum();
  }

  /** Records the current load, which is reported after the lag. */
  void sampleLoad(Instant now) {
    loads.add(
        new EngineLoad(
            running.size(), waiting.size(), options.batchLimit(), tokensPerSecond(now), now));
    Instant visibleUntil = now.minusMillis(options.loadLagMillis());
    while (loads.size() > 1 && secondOldestLoad().measuredAt().compareTo(visibleUntil) <= 0) {
      loads.removeFirst();
    }
  }

  EngineLoad load(Instant now) {
    sampleLoad(now);
    return loads.getFirst();
  }

  CacheEvents cacheEvents(long fromSequence, Instant now) {
    return cache.events(fromSequence, now);
  }

  EngineState state() {
    return new EngineState(
        engineStart,
        List.copyOf(served),
        role,
        options.checksFencing(),
        options.checksFencing() ? highestFencingToken : 0,
        lastOrderId);
  }

  EngineState order(EngineOrder order) {
    if (order.orderId().equals(lastOrderId)) {
      return state();
    }
    if (options.checksFencing() && order.fencingToken() < highestFencingToken) {
      throw new ResultException(
          ResultCode.STALE_FENCING_TOKEN,
          order.fencingToken() + " where " + highestFencingToken + " was seen");
    }
    highestFencingToken = Math.max(highestFencingToken, order.fencingToken());
    switch (order.kind()) {
      case LOAD -> served.add(nameOf(order.model(), order.adapter(), order.version()));
      case UNLOAD -> served.remove(nameOf(order.model(), order.adapter(), order.version()));
      case CHANGE_ROLE -> role = order.role();
      default -> throw new IllegalArgumentException("unknown kind " + order.kind());
    }
    lastOrderId = order.orderId();
    return state();
  }

  /**
   * Simulates a crash and restart: cancels every answer and clears streams, queue, batch, fencing
   * token, last order and expert map. Only what the options name as served is loaded afterwards.
   * The role, the prefix cache and the ids of started streams stay.
   */
  void restart(long nextStart) {
    engineStart = nextStart;
    streams.values().forEach(GeneratedStream::cancel);
    streams.clear();
    waiting.clear();
    running.clear();
    highestFencingToken = 0;
    lastOrderId = "";
    served.clear();
    served.addAll(options.served());
    map.reset();
  }

  private EngineLoad secondOldestLoad() {
    return loads.stream().skip(1).findFirst().orElseThrow();
  }

  private void requireServed(GenerationCall call) {
    String name = nameOf(call.model(), call.adapter(), call.version());
    if (!served.contains(name)) {
      throw new ResultException(ResultCode.UNKNOWN_MODEL, name + " is not loaded");
    }
  }

  private static String nameOf(String model, String adapter, String version) {
    String versioned = version.isEmpty() ? model : model + "@" + version;
    return adapter.isEmpty() ? versioned : model + "+" + adapter;
  }

  private GeneratedStream newStream(GenerationCall call) {
    JsonNode body = bodyOf(call);
    List<String> tokens = ExpectedAnswer.tokens(call.model(), body);
    int count = call.maximumTokens() > 0 ? call.maximumTokens() : tokens.size();
    long promptTokens = ExpectedAnswer.promptOf(body).length() / CHARACTERS_PER_TOKEN;
    return new GeneratedStream(
        call,
        tokens.subList(0, Math.min(tokens.size(), count)),
        options.tokensPerStep(),
        promptTokens);
  }

  private static JsonNode bodyOf(GenerationCall call) {
    try {
      return OutboundJson.readTree(call.body());
    } catch (IOException e) {
      throw new ResultException(ResultCode.MALFORMED_REQUEST, "body is no JSON");
    }
  }

  private void admit(GeneratedStream stream, Instant now) {
    String prompt = ExpectedAnswer.promptOf(bodyOf(stream.call()));
    int uncachedCharacters = prompt.length() - cache.admit(prompt, now);
    int charactersPerStep = options.prefillTokensPerStep() * CHARACTERS_PER_TOKEN;
    stream.setPrefillSteps(uncachedCharacters / charactersPerStep);
    running.add(stream);
  }

  private void dropOldTokens(Instant now) {
    Instant oldest = now.minusMillis(THROUGHPUT_WINDOW_MILLIS);
    while (!recentTokens.isEmpty() && recentTokens.getFirst().at().isBefore(oldest)) {
      recentTokens.removeFirst();
    }
  }

  private void dropOldestFinished() {
    if (streams.size() > MAXIMUM_KEPT_STREAMS) {
      streams.values().stream()
          .filter(GeneratedStream::finished)
          .findFirst()
          .ifPresent(stream -> streams.remove(stream.call().streamId()));
    }
  }
}
