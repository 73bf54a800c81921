import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A hang of the leading entry: some machines, its own among them, turn slow for a few seconds. */
public final class Case5 {
  private static final int GROUPS = 3;
  private static final int RANKS = 24;
  private static final int EXPERTS = 96;
  private static final int AGENTS = GROUPS * RANKS;
  private static final int ENTRIES = 2;
  private static final int CLIENTS = 12;
  private static final double FROZEN_SHARE = 0.1;
  private static final long FREEZE_MILLIS = 300;
  private static final double SLOWER = 5.5;
  private static final int SLOW_SECONDS = 5;
  private static final long RUN_MILLIS = 78_000;
  private static final int SEED = 1;

  /** The bound of the pages from which on a machine counts as in touch again, milliseconds. */
  private static final long STABILITY_MILLIS = 3_000;

  private Case5() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    boolean trouble = !arguments[2].equals("0");
    int status = 2;
    try (Record record = new Record(Path.of(arguments[1]));
        Store store = new Store("127.0.0.1");
        Programs programs = new Programs(root, store.address())) {
      Runtime.getRuntime().addShutdownHook(new Thread(programs::close));
      status = run(root, record, store, programs, trouble);
    }
    System.exit(status);
  }

  private static int run(
      Path root, Record record, Store store, Programs programs, boolean trouble)
      throws Exception {
    Fleet fleet = new Fleet(record, store, programs, GROUPS, RANKS, EXPERTS, ENTRIES, SEED);
    if (!fleet.start(50)) {
      return 2;
    }
    fleet.startClients(CLIENTS * ENTRIES);
    Thread.sleep(3_000);
    String leader = leader(fleet);
    record.say("%s leads", leader);
    Random random = new Random(SEED);
    Replica.daemon(() -> shiftForEver(fleet));
    long start = System.currentTimeMillis();
    int times = 0;
    int freezes = 0;
    String silent = "";
    while (System.currentTimeMillis() - start < RUN_MILLIS && silent.isEmpty()) {
      leader = leader(fleet);
      if (trouble) {
        times++;
        Process slowing = slow(root, fleet, leader);
        freezes += freezeWhile(slowing, fleet, random);
        fleet.record.line("SLOW ends");
      } else {
        Thread.sleep(SLOW_SECONDS * 1_000);
      }
      Thread.sleep(500);
      silent = silent(fleet);
    }
    record.say(
        "slowed %d times, freezes %d, switches of ranks %d",
        times, freezes, fleet.groups.stream().mapToInt(each -> each.switches).sum());
    if (!silent.isEmpty()) {
      record.say("SILENT %s isn't ready any more; 14 s without any disturbance follow", silent);
      String file = System.getenv("JSTACK");
      if (file != null) {
        new ProcessBuilder("jstack", "-l", Long.toString(programs.process(silent).pid()))
            .redirectOutput(new java.io.File(file))
            .start()
            .waitFor();
      }
    }
    long calmFrom = System.currentTimeMillis() + STABILITY_MILLIS;
    Thread.sleep(silent.isEmpty() ? 0 : STABILITY_MILLIS + Fleet.TIMEOUT_MILLIS + 3_000);
    fleet.isOver = true;
    return judge(record, fleet, programs, silent.isEmpty() ? 0 : calmFrom);
  }

  private static void shiftForEver(Fleet fleet) {
    Random random = new Random(SEED);
    while (!fleet.isOver) {
      fleet.groups.forEach(group -> group.shift(random));
      try {
        Thread.sleep(1_200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the entry that took the lead last. */
  private static String leader(Fleet fleet) throws IOException {
    String leader = "entry-1";
    String latest = "";
    for (int entry = 1; entry <= fleet.entries; entry++) {
      for (String line : fleet.programs.log("entry-" + entry).split("\n")) {
        if (line.contains("lead.taken") && time(line).compareTo(latest) > 0) {
          latest = time(line);
          leader = "entry-" + entry;
        }
      }
    }
    return leader;
  }

  private static String time(String line) {
    int at = line.indexOf("\"time\":\"");
    return at < 0 ? "" : line.substring(at + 8, line.indexOf('"', at + 8));
  }

  /** Slows the machine of the leader for some seconds. */
  private static Process slow(Path root, Fleet fleet, String leader) throws IOException {
    fleet.record.line("SLOW %s runs %.1f times slower for %d s", leader, SLOWER, SLOW_SECONDS);
    return new ProcessBuilder(
            root.resolve("review/5/slow.sh").toString(),
            Long.toString(fleet.programs.process(leader).pid()),
            Integer.toString(SLOW_SECONDS))
        .start();
  }

  /**
   * Freezes some agents for a moment each time that a new map is being armed, first the one that
   * gave the last order; returns how often.
   */
  private static int freezeWhile(Process slowing, Fleet fleet, Random random)
      throws IOException, InterruptedException {
    int freezes = 0;
    long[] armedBefore = fleet.groups.stream().mapToLong(Ranks::lastArmed).toArray();
    while (slowing.isAlive()) {
      for (int group = 0; group < GROUPS; group++) {
        long armed = fleet.groups.get(group).lastArmed();
        if (armed != armedBefore[group]) {
          freeze(fleet, random, group * RANKS + fleet.groups.get(group).lastOrderedRank());
          freezes++;
          armedBefore = fleet.groups.stream().mapToLong(Ranks::lastArmed).toArray();
        }
      }
      Thread.sleep(2);
    }
    return freezes;
  }

  private static void freeze(Fleet fleet, Random random, int giver)
      throws IOException, InterruptedException {
    List<Integer> frozen = new ArrayList<>(List.of(giver));
    while (frozen.size() < (int) (FROZEN_SHARE * (AGENTS + ENTRIES))) {
      int other = random.nextInt(AGENTS);
      if (!frozen.contains(other)) {
        frozen.add(other);
      }
    }
    signal(fleet, "STOP", frozen);
    fleet.record.line("FREEZE the agents of the ranks %s stand still", frozen);
    Thread.sleep(FREEZE_MILLIS);
    signal(fleet, "CONT", frozen);
    fleet.record.line("FREEZE ends");
  }

  private static void signal(Fleet fleet, String signal, List<Integer> ranks)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of("kill", "-" + signal));
    ranks.forEach(
        rank -> command.add(Long.toString(fleet.programs.process("agent-" + rank).pid())));
    new ProcessBuilder(command).start().waitFor();
  }

  /** Returns an entry that isn't ready at three questions in a row, half a second apart. */
  private static String silent(Fleet fleet) throws InterruptedException {
    for (int entry = 1; entry <= fleet.entries; entry++) {
      String name = "entry-" + entry;
      int no = 0;
      while (no < 3 && !fleet.programs.isReady(name)) {
        no++;
        Thread.sleep(500);
      }
      if (no == 3) {
        return name;
      }
    }
    return "";
  }

  private static int judge(Record record, Fleet fleet, Programs programs, long calmFrom) {
    int status = 0;
    long bound = Fleet.TIMEOUT_MILLIS + 500;
    for (int entry = 1; entry <= fleet.entries; entry++) {
      String name = "entry-" + entry;
      long now = System.currentTimeMillis();
      List<Fleet.Try> judged =
          fleet.tries.stream()
              .filter(each -> each.entry.equals(name))
              .filter(each -> each.sentAt + bound <= now && each.sentAt + bound >= calmFrom)
              .toList();
      long lasted =
          judged.stream()
              .filter(
                  each -> each.endedAt == 0 || each.endedAt - each.sentAt >= Fleet.TIMEOUT_MILLIS)
              .count();
      long unanswered =
          judged.stream().filter(each -> !each.end.matches("whole|[0-9]+"))
              .filter(each -> each.endedAt == 0 || each.endedAt - each.sentAt >= bound)
              .count();
      boolean isReady = programs.isReady(name);
      record.say(
          "%s: %d requests, %d lasted longer than their route's timeout, %d without a final"
              + " answer half a second after it; ready: %b, process alive: %b",
          name, judged.size(), lasted, unanswered, isReady, programs.process(name).isAlive());
      if (calmFrom > 0 && unanswered >= 8 && unanswered * 4 > lasted) {
        status = 1;
      }
    }
    record.say("logs of the programs are in %s", programs.folder());
    record.say(status == 1 ? "BROKEN CONFIG: an entry hangs" : "HELD");
    return status;
  }
}
