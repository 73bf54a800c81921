package dev.ibishub.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * The program {@code ibishub-standin}: runs one stand-in until the process is stopped, and prints
 * {@code ready KIND HOST:PORT} for each port on which it listens.
 */
public final class StandInMain {
  private static final String USAGE =
      "usage: ibishub-standin engine|service|log|vm-list|weight-store [options]";
  private static final int EXIT_USAGE = 2;

  private StandInMain() {}

  /**
   * Starts the stand-in that the first argument names.
   *
   * @throws IOException when its port cannot be bound
   */
  public static void main(String[] arguments) throws IOException {
    if (arguments.length == 0) {
      System.err.println(USAGE);
      System.exit(EXIT_USAGE);
    }
    String kind = arguments[0];
    String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
    OptionParser parser = StandInOptions.parserOf(kind);
    try {
      OptionSet options = parser.parse(rest);
      if (options.has("help")) {
        System.out.println(USAGE);
        parser.printHelpOn(System.out);
        return;
      }
      RunningStandIn running = start(kind, options);
      announce(kind, running);
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.err.println(USAGE);
      System.exit(EXIT_USAGE);
    }
  }

  /** Starts a stand-in of the given kind. */
  static RunningStandIn start(String kind, OptionSet options) throws IOException {
    if (kind.equals("engine")) {
      return startEngine(options);
    }
    StandInServer server = listen(options, 0, new FaultInjector(), handlerOf(kind, options));
    return new RunningStandIn(List.of(server), () -> {});
  }

  private static void announce(String kind, RunningStandIn running) {
    running
        .servers()
        .forEach(
            server ->
                System.out.printf(
                    "ready %s %s:%d%n",
                    kind,
                    server.address().getAddress().getHostAddress(),
                    server.address().getPort()));
    System.out.flush();
  }

  private static StandInServer.Handler handlerOf(String kind, OptionSet options) {
    return switch (kind) {
      case "service" -> new ServiceStandIn(StandInOptions.number(options, "delay-millis"))::handle;
      case "log" -> new LogStandIn(StandInOptions.log(options))::handle;
      case "vm-list" ->
          new VirtualMachineListStandIn(StandInOptions.number(options, "lag-millis"))::handle;
      case "weight-store" ->
          new WeightStoreStandIn(StandInOptions.number(options, "bytes-per-second"))::handle;
      default -> throw new IllegalArgumentException("unknown stand-in: " + kind);
    };
  }

  private static RunningStandIn startEngine(OptionSet options) throws IOException {
    EngineOptions engine = StandInOptions.engine(options);
    List<FaultInjector> faults =
        IntStream.range(0, engine.ranks()).mapToObj(rank -> new FaultInjector()).toList();
    EngineGroup group = EngineGroup.start(engine, faults);
    List<StandInServer> servers = new ArrayList<>();
    for (int rank = 0; rank < engine.ranks(); rank++) {
      FaultInjector rankFaults = faults.get(rank);
      EngineStandIn standIn = new EngineStandIn(group, rank, engine, rankFaults);
      servers.add(listen(options, rank, rankFaults, standIn::handle));
    }
    return new RunningStandIn(servers, group::close);
  }

  // Ranks listen on consecutive ports, or each on any free one when the port is 0.
  private static StandInServer listen(
      OptionSet options, int rank, FaultInjector faults, StandInServer.Handler handler)
      throws IOException {
    int port = (int) StandInOptions.number(options, "port");
    String host = (String) options.valueOf("host");
    return StandInServer.start(host, port == 0 ? 0 : port + rank, faults, handler);
  }
}
