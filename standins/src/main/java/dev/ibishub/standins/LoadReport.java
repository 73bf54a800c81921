package dev.ibishub.standins;

import java.util.List;
import java.util.Map;

/**
 * The result of a load run. Times are in milliseconds; those to the first token and to the end of
 * the answer count from the intended arrival.
 *
 * @param notSent requests that were due while too many were in flight, so that the load was not
 *     open-loop
 * @param breachCount number of answers that were lost, duplicated, wrong or partial, and of
 *     breaches that the audit found
 */
record LoadReport(
    long seed,
    double rate,
    long durationSeconds,
    int requests,
    int notSent,
    int attempts,
    int resumes,
    int restarts,
    Map<String, Integer> outcomes,
    Map<Integer, Integer> resultCodes,
    LoadRecorder.Times firstToken,
    LoadRecorder.Times tokenGap,
    LoadRecorder.Times total,
    LoadRecorder.Times service,
    Map<String, LoadRecorder.Times> firstTokenByWorkspace,
    int breachCount,
    List<String> breaches) {
  LoadReport {
    firstTokenByWorkspace = Map.copyOf(firstTokenByWorkspace);
    breaches = List.copyOf(breaches);
  }

  /** Returns the report as text for people. */
  String text() {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            "requests %d at %.1f/s for %d s, seed %d; not sent %d; attempts %d, resumes %d,"
                + " restarts %d%n",
            requests, rate, durationSeconds, seed, notSent, attempts, resumes, restarts));
    text.append("outcomes ").append(outcomes).append(System.lineSeparator());
    text.append("result codes ").append(resultCodes).append(System.lineSeparator());
    text.append(row("first token", firstToken));
    text.append(row("token gap", tokenGap));
    text.append(row("model total", total));
    text.append(row("service total", service));
    firstTokenByWorkspace.forEach((name, times) -> text.append(row("first token, " + name, times)));
    text.append("breaches ").append(breachCount).append(System.lineSeparator());
    breaches.forEach(breach -> text.append("  ").append(breach).append(System.lineSeparator()));
    return text.toString();
  }

  private static String row(String name, LoadRecorder.Times times) {
    return String.format(
        "%-32s n=%-7d p50 %8.2f  p95 %8.2f  p99 %8.2f  max %8.2f ms%n",
        name, times.count(), times.p50(), times.p95(), times.p99(), times.max());
  }
}
