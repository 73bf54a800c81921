package dev.ibishub.bench.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Model of an engine with continuous batching: each step decodes one token of every sequence whose
 * prompt has been read, and reads a bounded number of prompt tokens, urgent sequences first. Not
 * thread-safe.
 */
public final class EngineModel {
  private final EventQueue events;
  private final EngineParameters parameters;
  private final Consumer<ModelRequest> onFinished;
  private final Set<Long> cachedPrefixes = new LinkedHashSet<>();
  private final List<Long> newPrefixes = new ArrayList<>();
  private List<Sequence> sequences = new ArrayList<>();
  private double slowdown = 1;
  private boolean stepping;
  private boolean dead;
  private long prefixHits;
  private long prefixLookups;

  /** Creates an idle engine that passes each finished request to {@code onFinished}. */
  public EngineModel(
      EventQueue events, EngineParameters parameters, Consumer<ModelRequest> onFinished) {
    this.events = events;
    this.parameters = parameters;
    this.onFinished = onFinished;
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

  /** Multiplies the duration of every step by a factor. */
  public void slowDown(double factor) {
    slowdown = factor;
  }

  /** Stops for good without notifying anyone, and returns the requests that were running. */
  public List<ModelRequest> crash() {
    dead = true;
    List<ModelRequest> lost = sequences.stream().map(Sequence::request).toList();
    sequences = new ArrayList<>();
    return lost;
  }

  /** Returns the prefixes that were cached since the last call. */
  public List<Long> takeNewPrefixes() {
    List<Long> added = List.copyOf(newPrefixes);
    newPrefixes.clear();
    return added;
  }

  public boolean hasCached(long prefixHash) {
    return cachedPrefixes.contains(prefixHash);
  }

  /** Starts a request; the prompt of an urgent one is read before those of others. */
  public void start(ModelRequest request, boolean urgent) {
    request.started(events.seconds());
    sequences.add(new Sequence(request, urgent, promptTokensToRead(request)));
    if (!stepping && !dead) {
      step();
    }
  }

  /** Returns the seconds until the first token of a request that is started now. */
  double firstTokenSeconds(ModelRequest request) {
    double own =
        cachedPrefixes.contains(request.prefixHash())
            ? request.promptTokens() * (1 - parameters.prefixShare())
            : request.promptTokens();
    double prompts = own + sequences.stream().mapToInt(sequence -> sequence.promptTokensLeft).sum();
    double steps = Math.ceil(prompts / parameters.promptTokensPerStep());
    return slowdown
        * (steps * (parameters.stepSeconds() + sequences.size() * parameters.sequenceSeconds())
            + prompts * parameters.promptTokenSeconds());
  }

  /** Cancels a request; returns whether it was running. */
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
      newPrefixes.add(request.prefixHash());
      return request.promptTokens();
    }
    prefixHits++;
    return (int) (request.promptTokens() * (1 - parameters.prefixShare()));
  }

  private void step() {
    stepping = true;
    int decoding = (int) sequences.stream().filter(Sequence::isDecoding).count();
    int promptTokens = readPrompts();
    double seconds =
        parameters.stepSeconds()
            + decoding * parameters.sequenceSeconds()
            + promptTokens * parameters.promptTokenSeconds();
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
      budget -= sequence.readPrompt(budget);
    }
    sequences.forEach(Sequence::joinStep);
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
    ended.forEach(sequence -> onFinished.accept(sequence.request()));
    if (!sequences.isEmpty() && !stepping) {
      step();
    }
  }

  private static final class Sequence {
    private final ModelRequest request;
    private final boolean urgent;
    private int promptTokensLeft;
    private int producedTokens;
    private boolean inStep;

    Sequence(ModelRequest request, boolean urgent, int promptTokensLeft) {
      this.request = request;
      this.urgent = urgent;
      this.promptTokensLeft = Math.max(1, promptTokensLeft);
    }

    ModelRequest request() {
      return request;
    }

    boolean isDecoding() {
      return promptTokensLeft == 0;
    }

    int readPrompt(int budget) {
      int tokens = Math.min(budget, promptTokensLeft);
      promptTokensLeft -= tokens;
      return tokens;
    }

    void joinStep() {
      inStep = true;
    }

    /** Counts a step that ends now; returns whether the sequence is finished. */
    boolean endStep(double now) {
      if (!inStep || promptTokensLeft > 0) {
        return false;
      }
      if (producedTokens == 0) {
        request.firstToken(now);
      }
      producedTokens++;
      if (producedTokens < request.outputTokens()) {
        return false;
      }
      request.finished(now);
      return true;
    }
  }
}
