package dev.ibishub.bench.model;

import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Poisson arrivals of requests of one workspace.
 *
 * @param workspace name of the workspace
 * @param weight fair-queueing weight of the workspace
 * @param requestsPerSecond mean arrival rate
 * @param meanPrompt mean prompt tokens of a request
 * @param meanOutput mean generated tokens of a request
 * @param prefixes number of distinct prompt prefixes; 0 for prompts that share none
 * @param deadlineSeconds time from arrival to the deadline
 */
public record Workload(
    String workspace,
    double weight,
    double requestsPerSecond,
    int meanPrompt,
    int meanOutput,
    int prefixes,
    double deadlineSeconds) {
  private static final double MAX_ESTIMATE_FACTOR = 2;

  /**
   * Sends requests from one second to another; the receiver also gets a random number in [0, 1), to
   * choose an entry by.
   */
  public void send(
      EventQueue events,
      Random random,
      double from,
      double until,
      BiConsumer<ModelRequest, Double> receiver) {
    double first = from - events.seconds() + interarrivalSeconds(random);
    events.after(first, () -> sendNext(events, random, until, receiver));
  }

  private void sendNext(
      EventQueue events, Random random, double until, BiConsumer<ModelRequest, Double> receiver) {
    if (events.seconds() >= until) {
      return;
    }
    receiver.accept(nextRequest(events, random), random.nextDouble());
    events.after(interarrivalSeconds(random), () -> sendNext(events, random, until, receiver));
  }

  private ModelRequest nextRequest(EventQueue events, Random random) {
    int output = Math.max(1, (int) (meanOutput * (0.5 + random.nextDouble())));
    int prompt = Math.max(1, (int) (meanPrompt * (0.5 + random.nextDouble())));
    int estimate = (int) (output * (1 + random.nextDouble() * (MAX_ESTIMATE_FACTOR - 1)));
    // Squaring makes a few prefixes far more frequent than the rest.
    double skewed = Math.pow(random.nextDouble(), 2);
    long prefix = prefixes == 0 ? 0 : 1 + (long) (skewed * prefixes) + workspace.hashCode() * 7919L;
    return new ModelRequest(
        workspace + "@" + events.seconds(),
        workspace,
        weight,
        new ModelRequest.Size(prompt, output, estimate),
        prefix,
        events.seconds(),
        events.seconds() + deadlineSeconds);
  }

  private double interarrivalSeconds(Random random) {
    return -Math.log(1 - random.nextDouble()) / requestsPerSecond;
  }
}
