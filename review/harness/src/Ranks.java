import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A group of ranks that execute passes together, as PROTOCOL.md describes it: orders prepare a map
 * on a rank, arm it for a step, and hold and release a step. An idle group makes no passes.
 */
final class Ranks {
  static final int SETS = 2;
  static final int PLACES = 5;
  static final int SPARE = 4;
  static final long COPY_MILLIS = 150;

  final String name;
  final int size;
  final int experts;
  final Record record;
  private final Rank[] ranks;
  private double[][] liked;
  long step;
  long epoch = 1;
  int switches;
  int running;
  private long lastArmed;
  private int lastOrderedRank;
  final List<String> breaches = new ArrayList<>();

  /** One rank; all its fields are used under the lock of the group. */
  static final class Rank {
    long map;
    int[][] held;
    long prepared;
    int[][] preparedMap;
    long preparedAt;
    long highest;
    long armed;
    long armedStep;
    long heldStep = -1;
    long fence;
    long sequence;
    long[] counts;
  }

  Ranks(int size, int experts, Record record) {
    this("g", size, experts, record);
  }

  Ranks(String name, int size, int experts, Record record) {
    this.name = name;
    this.size = size;
    this.experts = experts;
    this.record = record;
    ranks = new Rank[size];
    liked = new double[SETS][experts];
    for (double[] set : liked) {
      Arrays.fill(set, 1);
    }
    for (int number = 0; number < size; number++) {
      Rank rank = new Rank();
      int own = number;
      rank.held = new int[SETS][];
      for (int set = 0; set < SETS; set++) {
        rank.held[set] =
            java.util.stream.IntStream.range(0, experts).filter(e -> e % size == own).toArray();
      }
      rank.counts = new long[SETS * experts];
      ranks[number] = rank;
    }
  }

  /** Changes which experts are in demand: a few of each set get most of the tokens. */
  synchronized void shift(Random random) {
    for (double[] set : liked) {
      Arrays.fill(set, 1);
      for (int hot = 0; hot < 4; hot++) {
        set[random.nextInt(experts)] = experts / 2.0;
      }
    }
  }

  synchronized void onStart() {
    running++;
    notifyAll();
  }

  synchronized void onEnd() {
    running--;
  }

  /** Executes passes for ever, one in some time, as long as there is work and none is held. */
  void run(long passMillis) throws InterruptedException {
    while (true) {
      Thread.sleep(passMillis);
      pass();
    }
  }

  private synchronized void pass() {
    if (running == 0) {
      return;
    }
    for (Rank rank : ranks) {
      if (rank.heldStep == step + 1) {
        return;
      }
    }
    step++;
    for (int number = 0; number < size; number++) {
      Rank rank = ranks[number];
      if (rank.armed > 0 && rank.armedStep == step) {
        rank.map = rank.armed;
        rank.held = rank.preparedMap;
        rank.armed = 0;
        rank.prepared = 0;
        switches++;
      }
      for (int at = 0; at < rank.counts.length; at++) {
        rank.counts[at] += Math.round(liked[at / experts][at % experts] * 20);
      }
    }
    if (Arrays.stream(ranks).mapToLong(rank -> rank.map).distinct().count() > 1) {
      StringBuilder maps = new StringBuilder();
      Arrays.stream(ranks).forEach(rank -> maps.append(' ').append(rank.map));
      breaches.add("pass " + step + " begins with the maps" + maps);
      record.line("MAP pass %d begins with the maps%s", step, maps);
    }
    notifyAll();
  }

  /** Waits for the next pass. */
  synchronized void awaitPass() throws InterruptedException {
    long now = step;
    while (step == now) {
      wait(1_000);
    }
  }

  private boolean isPrepared(Rank rank) {
    return rank.prepared > 0 && System.currentTimeMillis() >= rank.preparedAt;
  }

  synchronized String report(int number, long waiting) {
    Rank rank = ranks[number];
    return "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
        + "\"busy\":false,\"sequence\":" + rank.sequence + ",\"waiting\":0,\"running\":" + waiting
        + ",\"kv_used\":0,\"kv_total\":400000,\"handles\":0,\"pace\":1,"
        + "\"group\":{\"name\":\"" + name + "\",\"epoch\":" + epoch + ",\"rank\":" + number
        + ",\"state\":\"open\"},\"size\":" + size + ",\"step\":" + step
        + ",\"map\":" + rank.map
        + ",\"prepared\":" + (isPrepared(rank) ? rank.prepared : 0)
        + ",\"armed\":"
        + (rank.armed == 0
            ? "0" : "{\"version\":" + rank.armed + ",\"step\":" + rank.armedStep + "}")
        + (rank.heldStep < 0 ? "" : ",\"held\":" + rank.heldStep) + "}";
  }

  synchronized String picked(int number, boolean lists) {
    Rank rank = ranks[number];
    String content =
        lists
            ? "\"map\":{\"version\":" + rank.map + ",\"experts\":"
                + Arrays.deepToString(rank.held) + "},\"prepared\":{\"version\":"
                + (isPrepared(rank) ? rank.prepared : 0) + "}"
            : "\"counts\":" + Arrays.toString(rank.counts);
    return "{\"step\":" + step + ",\"epoch\":" + epoch + "," + content + "}";
  }

  /** Returns the version that was last armed at any rank. */
  synchronized long lastArmed() {
    return lastArmed;
  }

  /** Returns the rank that last got an order. */
  synchronized int lastOrderedRank() {
    return lastOrderedRank;
  }

  /** Carries out an order; returns its status. */
  synchronized int execute(int number, Order order) {
    Rank rank = ranks[number];
    lastOrderedRank = number;
    if (order.operation.equals("arm")) {
      lastArmed = order.version;
    }
    int status = outcome(number, rank, order);
    rank.sequence += status == 202 ? 1 : 0;
    return status;
  }

  private int outcome(int number, Rank rank, Order order) {
    if (order.fence < rank.fence) {
      return 412;
    }
    rank.fence = order.fence;
    if (order.epoch != epoch) {
      return 409;
    }
    switch (order.operation) {
      case "prepare":
        return prepare(number, rank, order);
      case "arm":
        if (rank.armed == order.version && rank.armedStep == order.step) {
          return 200;
        }
        if (!isPrepared(rank) || rank.prepared != order.version || order.step <= step) {
          return 409;
        }
        rank.armed = order.version;
        rank.armedStep = order.step;
        return 202;
      case "disarm":
        if (rank.map == order.version) {
          return 409;
        }
        rank.armed = rank.armed == order.version ? 0 : rank.armed;
        return 200;
      case "hold":
        if (rank.heldStep == order.step) {
          return 200;
        }
        if (rank.heldStep >= 0 || order.step <= step) {
          return 409;
        }
        rank.heldStep = order.step;
        return 202;
      case "go":
        rank.heldStep = rank.heldStep == order.step ? -1 : rank.heldStep;
        return 200;
      default:
        return 400;
    }
  }

  private int prepare(int number, Rank rank, Order order) {
    if (rank.prepared == order.version) {
      return 200;
    }
    if (order.version <= rank.highest || rank.armed > 0) {
      return 409;
    }
    int[][] wanted = new int[SETS][];
    for (int set = 0; set < SETS; set++) {
      wanted[set] = order.map[set][number];
      int[] own = rank.held[set];
      long missing =
          Arrays.stream(wanted[set]).filter(e -> Arrays.stream(own).noneMatch(o -> o == e)).count();
      if (missing > SPARE || wanted[set].length > PLACES) {
        return 409;
      }
    }
    rank.highest = order.version;
    rank.prepared = order.version;
    rank.preparedMap = wanted;
    rank.preparedAt = System.currentTimeMillis() + COPY_MILLIS;
    return 202;
  }

  synchronized boolean isHeld() {
    return Arrays.stream(ranks).anyMatch(rank -> rank.heldStep >= 0);
  }

  /** An order to a rank. */
  static final class Order {
    String operation;
    long version;
    long step;
    long epoch;
    long fence;
    int[][][] map;

    static Order parse(String json) {
      Order order = new Order();
      order.operation = text(json, "operation");
      order.version = number(json, "version");
      order.step = number(json, "step");
      order.epoch = number(json, "epoch");
      order.fence = number(json, "fencing_token");
      int at = json.indexOf("\"map\":");
      if (at >= 0) {
        order.map = map(json, json.indexOf('[', at));
      }
      return order;
    }

    private static String text(String json, String name) {
      int at = json.indexOf("\"" + name + "\":\"");
      int from = at + name.length() + 4;
      return at < 0 ? "" : json.substring(from, json.indexOf('"', from));
    }

    private static long number(String json, String name) {
      int at = json.indexOf("\"" + name + "\":");
      if (at < 0) {
        return 0;
      }
      int from = at + name.length() + 3;
      int to = from;
      while (to < json.length() && Character.isDigit(json.charAt(to))) {
        to++;
      }
      return to == from ? 0 : Long.parseLong(json.substring(from, to));
    }

    /** Reads three levels of lists of numbers. */
    private static int[][][] map(String json, int from) {
      List<int[][]> sets = new ArrayList<>();
      List<int[]> ranks = new ArrayList<>();
      List<Integer> experts = new ArrayList<>();
      int depth = 0;
      StringBuilder digits = new StringBuilder();
      for (int at = from; at < json.length(); at++) {
        char next = json.charAt(at);
        if (Character.isDigit(next)) {
          digits.append(next);
          continue;
        }
        if (digits.length() > 0) {
          experts.add(Integer.parseInt(digits.toString()));
          digits.setLength(0);
        }
        if (next == '[') {
          depth++;
        } else if (next == ']') {
          if (depth == 3) {
            ranks.add(experts.stream().mapToInt(Integer::intValue).toArray());
            experts.clear();
          } else if (depth == 2) {
            sets.add(ranks.toArray(int[][]::new));
            ranks.clear();
          }
          depth--;
          if (depth == 0) {
            break;
          }
        }
      }
      return sets.toArray(int[][][]::new);
    }
  }

  static long random(long from, long to) {
    return ThreadLocalRandom.current().nextLong(from, to + 1);
  }
}
