package dev.ibishub.bench.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An engine that batches continuously: each step decodes one token of every sequence whose prompt
 * has been read and reads a bounded number of prompt tokens, of urgent sequences first. Not
 * thread-safe.
 */
public final class EngineModel {
  private final EventQueue events;
  private final EngineParameters parameters;
  private final Consumer<ModelRequest> onEnd;
  private final Set<Long> cachedPrefixes = new LinkedHashSet<>();
  private final List<Long> cacheNews = new ArrayList<>();
  private List<Sequence> sequences = new ArrayList<>();
  private double slowdown = 1;
  private boolean stepping;
  private boolean dead;
  private long prefixHits;
  private long prefixLookups;

  /** Creates an idle engine that tells of each request that has ended. */
  public EngineModel(EventQueue events, EngineParameters parameters, Consumer<ModelRequest> onEnd) {
    this.events = events;
    this.parameters = parameters;
    this.onEnd = onEnd;
  }

  public int running() {
    return sequences.size();
  }

  public long prefixHits() {
    return prefixHits;
  }

  public long prefixLookups() {
    return prefixLookups;
  }

  /** Makes every step so many times as long. */
  public void slowDown(double factor) {
    slowdown = factor;
  }

  /** Stops for good without a word; what runs is lost and returned. */
  public List<ModelRequest> die() {
    dead = true;
    List<ModelRequest> lost = sequences.stream().map(Sequence::request).toList();
    sequences = new ArrayList<>();
    return lost;
  }

  /** Prefixes that were cached since the last call. */
  public List<Long> takeCacheNews() {
    List<Long> news = List.copyOf(cacheNews);
    cacheNews.clear();
    return news;
  }

  public boolean hasCached(long prefixHash) {
    return cachedPrefixes.contains(prefixHash);
  }

  /** Starts a request. */
  public void start(ModelRequest request, boolean urgent) {
    request.started(events.seconds());
    sequences.add(new Sequence(request, urgent, promptTokensToRead(request)));
    if (!stepping && !dead) {
      step();
    }
  }

  /** Seconds until the first token of a request that is started now. */
  double firstTokenSeconds(ModelRequest request) {
    double own =
        cachedPrefixes.contains(request.prefixHash())
            ? request.promptTokens() * (1 - parameters.prefixShare())
            : request.promptTokens();
    double prompts = own + sequences.stream().mapToInt(sequence -> sequence.promptLeft).sum();
    double steps = Math.ceil(prompts / parameters.promptTokensPerStep());
    return slowdown
        * (steps * (parameters.stepSeconds() + sequences.size() * parameters.sequenceSeconds())
            + prompts * parameters.promptTokenSeconds());
  }

  /** Drops a request whose answer is no longer wanted. */
  public boolean cancel(ModelRequest request) {
    return sequences.removeIf(sequence -> sequence.request().equals(request));
  }

  private int promptTokensToRead(ModelRequest request) {
    if (request.prefixHash() == 0) {
      return request.promptTokens();
    }
    prefixLookups++;
    boolean cached = cachedPrefixes.remove(request.prefixHash());
    cachedPrefixes.add(request.prefixHash());
    if (cachedPrefixes.size() > parameters.cachedPrefixes()) {
      cachedPrefixes.remove(cachedPrefixes.iterator().next());
    }
    if (!cached) {
      cacheNews.add(request.prefixHash());
      return request.promptTokens();
    }
    prefixHits++;
    return (int) (request.promptTokens() * (1 - parameters.prefixShare()));
  }

  private void step() {
    stepping = true;
    int decoding = (int) sequences.stream().filter(Sequence::isDecoding).count();
    int read = readPrompts();
    double seconds =
        parameters.stepSeconds()
            + decoding * parameters.sequenceSeconds()
            + read * parameters.promptTokenSeconds();
    events.after(seconds * slowdown, this::endStep);
  }

  private int readPrompts() {
    int budget = parameters.promptTokensPerStep();
    List<Sequence> reading =
        sequences.stream()
            .filter(sequence -> !sequence.isDecoding())
            .sorted(Comparator.comparing(sequence -> !sequence.urgent))
            .toList();
    for (Sequence sequence : reading) {
      budget -= sequence.read(budget);
    }
    sequences.forEach(Sequence::takesPart);
    return parameters.promptTokensPerStep() - budget;
  }

  private void endStep() {
    stepping = false;
    if (dead) {
      return;
    }
    double now = events.seconds();
    List<Sequence> ended = new ArrayList<>();
    List<Sequence> rest = new ArrayList<>(sequences.size());
    for (Sequence sequence : sequences) {
      (sequence.endStep(now) ? ended : rest).add(sequence);
    }
    sequences = rest;
    ended.forEach(sequence -> onEnd.accept(sequence.request()));
    if (!sequences.isEmpty() && !stepping) {
      step();
    }
  }

  private static final class Sequence {
    private final ModelRequest request;
    private final boolean urgent;
    private int promptLeft;
    private int produced;
    private boolean inStep;

    Sequence(ModelRequest request, boolean urgent, int promptLeft) {
      this.request = request;
      this.urgent = urgent;
      this.promptLeft = Math.max(1, promptLeft);
    }

    ModelRequest request() {
      return request;
    }

    boolean isDecoding() {
      return promptLeft == 0;
    }

    int read(int budget) {
      int read = Math.min(budget, promptLeft);
      promptLeft -= read;
      return read;
    }

    void takesPart() {
      inStep = true;
    }

    /** Returns whether the sequence has ended. */
    boolean endStep(double now) {
      if (!inStep || promptLeft > 0) {
        return false;
      }
      if (produced == 0) {
        request.firstToken(now);
      }
      produced++;
      if (produced < request.outputTokens()) {
        return false;
      }
      request.finished(now);
      return true;
    }
  }
}
