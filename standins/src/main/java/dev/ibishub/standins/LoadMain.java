package dev.ibishub.standins;

import dev.ibishub.engines.HttpModelEngine;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * The program {@code ibishub-load}: generates open-loop load and checks every answer.
 *
 * <p>It exits with 0 when every check passed, 1 on a breach (an answer that is lost, duplicated,
 * wrong or partial), 2 on wrong options, and 3 when it could not send every request that was due.
 */
public final class LoadMain {
  private static final int EXIT_BREACH = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_NOT_SENT = 3;
  private static final long START_DELAY_NANOS = 200_000_000;

  private LoadMain() {}

  /**
   * Runs the load that the arguments describe.
   *
   * @throws IOException when a file cannot be read or written
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    OptionParser parser = LoadOptions.parser();
    LoadOptions options = null;
    try {
      OptionSet parsed = parser.parse(arguments);
      if (parsed.has("help")) {
        parser.printHelpOn(System.out);
        return;
      }
      options = LoadOptions.of(parsed);
    } catch (OptionException | IllegalArgumentException | IndexOutOfBoundsException e) {
      System.err.println("ibishub-load: " + e.getMessage() + "; see --help");
      System.exit(EXIT_USAGE);
    }
    LoadReport report = run(options);
    System.out.print(report.text());
    if (options.reportFile().isPresent()) {
      Files.write(options.reportFile().get(), OutboundJson.write(report));
    }
    System.exit(exitCode(report));
  }

  /** Runs a load to its end, including the audit. */
  static LoadReport run(LoadOptions options) throws IOException, InterruptedException {
    ExecutorService executor = Executors.newCachedThreadPool();
    try {
      HttpClient client = OutboundHttp.newClient(executor);
      long startNanos = System.nanoTime() + START_DELAY_NANOS;
      LoadRecorder recorder = new LoadRecorder(startNanos);
      send(options, client, executor, startNanos, recorder);
      List<String> audit = ExecutionAudit.check(client, options, recorder.endings());
      return recorder.report(options, audit);
    } finally {
      executor.shutdownNow();
    }
  }

  private static int exitCode(LoadReport report) {
    if (report.breachCount() > 0) {
      return EXIT_BREACH;
    }
    return report.notSent() > 0 ? EXIT_NOT_SENT : 0;
  }

  private static void send(
      LoadOptions options,
      HttpClient client,
      ExecutorService executor,
      long startNanos,
      LoadRecorder recorder)
      throws IOException, InterruptedException {
    EntryAddresses addresses = new EntryAddresses(client, options.entries());
    EntryClient entryClient = new EntryClient(client, options);
    List<ModelEngine> engines =
        options.directEngines().stream()
            .<ModelEngine>map(engine -> HttpModelEngine.create(engine, client))
            .toList();
    LoadPlan plan = LoadPlan.create(options);
    Semaphore inFlight = new Semaphore(options.maximumInFlight());
    Optional<PlannedRequest> next = plan.next();
    while (next.isPresent()) {
      PlannedRequest request = next.get();
      sleepUntil(startNanos + request.intendedNanos());
      if (inFlight.tryAcquire()) {
        Callable<CallerSession.Ending> session =
            engines.isEmpty()
                ? new CallerSession(request, entryClient, addresses, options, startNanos)::run
                : new DirectSession(
                        request, engines.get(request.number() % engines.size()), options)
                    ::run;
        executor.execute(() -> runSession(session, recorder, inFlight));
      } else {
        recorder.countNotSent();
      }
      next = plan.next();
    }
    // Every session ends within its timeout.
    inFlight.acquire(options.maximumInFlight());
  }

  private static void runSession(
      Callable<CallerSession.Ending> session, LoadRecorder recorder, Semaphore inFlight) {
    try {
      recorder.record(session.call());
    } catch (Exception e) {
      // A fault of this tool, not of the system under test. The request is missing from the counts,
      // so the run must not pass.
      recorder.countFault(e);
    } finally {
      inFlight.release();
    }
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }
}
