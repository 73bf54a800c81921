package dev.ibishub.node;

import dev.ibishub.node.ObservedTarget.Run;
import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.platform.standins.StoreStandIn;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.BrokenRun;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Entries as real processes, callers of which many leave early, and targets that end under parts of
 * prompts. Draws all of it from a seed.
 */
final class DepartedCallerFleet implements AutoCloseable {
  /** How long a run may go on, or be sent, after its caller left, milliseconds. */
  static final long ALLOWED_MILLIS = 500;

  private static final String SERVICE = "pages";
  private static final int CALL_MILLIS = 10;
  private static final double LEAVING_SHARE = 0.4;
  private static final int LEAVING_MILLIS = 2_000;
  private static final int GUILTY_MILLIS = 166;
  private static final int TARGET_DOWN_MILLIS = 1_500;
  private static final int REWRITE_MILLIS = 500;
  private static final int SOUND_PARTS = 200;
  private static final int PARTS_PER_REQUEST = 5;
  private static final int RUNS_PER_REPORT = 64;
  private static final int PARTS_PER_RUN = 32;
  private static final int REPORTED_PARTS = 2_000;
  private static final long SECOND_MILLIS = 1_000;
  private static final Duration METRICS_TIMEOUT = Duration.ofSeconds(5);
  private static final Pattern LOOP_LATE =
      Pattern.compile("\"event\":\"loop.late\",\"late_ms\":\"(\\d+)\"");

  private final Random random;
  private final boolean isGroup;
  private final Deployment deployment;
  private final List<String> entries;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService timers = new ScheduledThreadPoolExecutor(1);
  private final Set<String> crashingParts = ConcurrentHashMap.newKeySet();
  private final Map<String, ObservedTarget> targets = new ConcurrentHashMap<>();
  private final Map<String, Departure> departures = new ConcurrentHashMap<>();
  private final Set<String> ended = ConcurrentHashMap.newKeySet();
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Queue<Pause> pauses = new ConcurrentLinkedQueue<>();
  private final Map<String, URI> metricsPages = new ConcurrentHashMap<>();
  private final HttpClient metricsClient = HttpClient.newHttpClient();
  private final Map<String, WireTransport> transports = new ConcurrentHashMap<>();
  private final Set<String> down = ConcurrentHashMap.newKeySet();
  private final AtomicInteger numbers = new AtomicInteger();
  private volatile boolean isGuiltyLoad;
  private volatile boolean isSoundLoad = true;
  private volatile Optional<String> guiltyPart = Optional.empty();

  /** When a caller left, and from which entry. */
  private record Departure(String entry, long at) {}

  /** When an entry stood still. */
  private record Pause(String entry, long from, long until) {}

  /**
   * What became of the runs of callers that left within a time.
   *
   * @param departed the runs that were under way as their callers left
   * @param wentOn those that were at work later than is allowed
   * @param lateSends runs that began later than is allowed
   * @param worstShare the largest share that went on of those of one second, with four or more
   */
  record Verdict(long departed, long wentOn, long lateSends, double worstShare) {}

  /**
   * The evidence on crashes that all entries together have exchanged.
   *
   * @param suspicions runs that were news to an entry
   * @param found messages that an entry sent with findings of its own
   * @param received messages with evidence that an entry received
   */
  record Evidence(double suspicions, double found, double received) {}

  /**
   * How often event loops were late, by the logs.
   *
   * @param late how often they were so late that a close is noticed too late
   * @param longest the longest delay, milliseconds
   */
  record LoopDelays(long late, long longest) {}

  DepartedCallerFleet(long seed, int entryCount, int targetCount)
      throws IOException, InterruptedException {
    random = new Random(seed);
    isGroup = random.nextBoolean();
    deployment = new Deployment(Deployment.Programs.withoutAgents(NodeMain.class.getName()));
    deployment.store().setPageRecords(targetCount);
    deployment.publish(1, SERVICE, "key-1");
    entries = IntStream.rangeClosed(1, entryCount).mapToObj(number -> "entry-" + number).toList();
    for (int target = 0; target < targetCount; target++) {
      startTarget(0);
    }
    for (String entry : entries) {
      startEntry(entry);
    }
    deployment.endFirstStart();
    deployment.await("all entries listed", () -> entries.stream().allMatch(this::isListed));
  }

  private void startEntry(String entry) throws IOException {
    String host = host(entry);
    int metricsPort = deployment.freshPort(host);
    metricsPages.put(entry, URI.create("http://%s:%d/metrics".formatted(host, metricsPort)));
    deployment.startEntry(entry, host, "127.0.1.1", ",\"metricsPort\":%d".formatted(metricsPort));
  }

  private String host(String entry) {
    return "127.0.1." + (entries.indexOf(entry) + 1);
  }

  private boolean isListed(String entry) {
    try {
      return deployment.resolve(entries.get(0)).contains(deployment.callerAddress(entry));
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void startTarget(int port) {
    String id = "t-" + numbers.incrementAndGet();
    ObservedTarget target =
        new ObservedTarget(
            id, port, group, crashingParts, new ObservedTarget.Listener(runs::add, this::onCrash));
    targets.put(id, target);
    deployment.store().put("keyed.servers", id, target.announcement(SERVICE));
  }

  /** In a group of ranks, all targets break off what they run as one of them ends. */
  private void onCrash(ObservedTarget target) {
    if (isGroup) {
      targets.values().forEach(ObservedTarget::breakOff);
    }
    timers.schedule(() -> replace(target), TARGET_DOWN_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void replace(ObservedTarget target) {
    int port = target.port();
    target.close();
    targets.remove(target.id());
    ended.add(target.id());
    startTarget(port);
    deployment.store().put("keyed.servers", target.id(), "");
  }

  /** Starts the callers. */
  void startLoad() {
    timers.scheduleAtFixedRate(this::callSometimes, 0, CALL_MILLIS, TimeUnit.MILLISECONDS);
    timers.scheduleAtFixedRate(
        () -> guiltyPart.filter(any -> isGuiltyLoad).ifPresent(this::callWithPart),
        0,
        GUILTY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private synchronized void callSometimes() {
    if (random.nextDouble() < LEAVING_SHARE) {
      String kind = random.nextBoolean() ? ObservedTarget.MUTE : ObservedTarget.ENDLESS;
      call(kind, soundParts(), 20 + random.nextInt(LEAVING_MILLIS - 20));
    } else if (isSoundLoad) {
      call(ObservedTarget.SHORT, soundParts(), LEAVING_MILLIS);
    }
  }

  private synchronized void callWithPart(String part) {
    call(
        ObservedTarget.SHORT,
        Stream.concat(soundParts().stream(), Stream.of(part)).toList(),
        LEAVING_MILLIS);
  }

  private List<String> soundParts() {
    return IntStream.range(0, PARTS_PER_REQUEST)
        .mapToObj(any -> "50" + random.nextInt(SOUND_PARTS))
        .toList();
  }

  private void call(String kind, List<String> parts, long leavesAfterMillis) {
    List<String> running = entries.stream().filter(entry -> !down.contains(entry)).toList();
    String entry = running.get(random.nextInt(running.size()));
    String[] address = deployment.callerAddress(entry).split(":", 2);
    String id = "c" + numbers.incrementAndGet();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel connection) {
                connection.pipeline().addLast(new HttpClientCodec()).addLast(new Answers());
              }
            })
        .connect(address[0], Integer.parseInt(address[1]))
        .addListener(
            connected -> {
              if (connected.isSuccess()) {
                Channel caller = ((ChannelFuture) connected).channel();
                caller.writeAndFlush(request(kind, id, parts));
                caller
                    .eventLoop()
                    .schedule(
                        () -> leave(caller, entry, id), leavesAfterMillis, TimeUnit.MILLISECONDS);
              }
            });
  }

  private void leave(Channel caller, String entry, String id) {
    if (caller.isActive()) {
      departures.put(id, new Departure(entry, MonotonicClock.millis()));
      caller.close();
    }
  }

  private static FullHttpRequest request(String kind, String id, List<String> parts) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/stream/%s/%s".formatted(kind, id),
            Unpooled.copiedBuffer("body of " + id, StandardCharsets.US_ASCII));
    request
        .headers()
        .set("Host", "h.example")
        .set("X-Attempt-Id", id)
        .set("X-Deadline-Ms", "5000")
        .set("X-Api-Key", "key-1")
        .set(
            "X-Prompt-Prefix",
            Stream.concat(parts.stream(), Stream.of("9" + id.substring(1)))
                .collect(Collectors.joining(",")));
    HttpUtil.setContentLength(request, request.content().readableBytes());
    return request;
  }

  /** Closes a caller's connection once its answer is complete. */
  private static final class Answers extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message instanceof LastHttpContent) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Sends requests with a part that ends targets for a time, one such part after the other. */
  void playGuilty(int parts, boolean silently, long millisPerPart) throws InterruptedException {
    isGuiltyLoad = true;
    for (int part = 0; part < parts; part++) {
      String id = (silently && part % 2 == 1 ? "da" : "bad") + numbers.incrementAndGet();
      crashingParts.add(id);
      guiltyPart = Optional.of(id);
      Thread.sleep(millisPerPart);
    }
    isGuiltyLoad = false;
  }

  /**
   * Sends reports on crashes to all entries, each with as many runs and parts as a message may
   * hold, over links of other entries that this process opens. Returns once all were handed over.
   *
   * @param peers number of links to each entry
   * @param messages number of reports over each
   */
  void reportCrashes(int peers, int messages) {
    List<Link> links =
        entries.stream()
            .flatMap(entry -> IntStream.range(0, peers).mapToObj(peer -> linkTo(entry, peer)))
            .toList();
    IntStream.range(0, messages)
        .mapToObj(this::crashReport)
        .forEach(report -> links.forEach(link -> link.offer(report)));
  }

  private Link linkTo(String entry, int peer) {
    return transports
        .computeIfAbsent("peer-" + peer, DepartedCallerFleet::transport)
        .connect(host(entry), deployment.linkPort(), new Ignoring())
        .join();
  }

  private static WireTransport transport(String processId) {
    return WireTransport.create(new Identity(processId, "entry", "z1", 1), Optional.empty());
  }

  private Frame crashReport(int number) {
    CrashReport.Builder report = CrashReport.newBuilder();
    for (int run = 0; run < RUNS_PER_REPORT; run++) {
      report.addRuns(
          BrokenRun.newBuilder()
              .setRequest("run-%d-%d".formatted(number, run))
              .setService(SERVICE)
              .setWorkspace("w" + run % 5)
              .addAllParts(reportedParts())
              .setTargetLife("crashed-" + number)
              .setSentAgeMillis(SECOND_MILLIS));
    }
    return Frame.newBuilder().setCrashReport(report.setId(number + 1L)).build();
  }

  private synchronized List<String> reportedParts() {
    return random.ints(PARTS_PER_RUN, 0, REPORTED_PARTS).mapToObj(part -> "ee" + part).toList();
  }

  /** Takes no notice of what an entry sends. */
  private static final class Ignoring implements LinkListener {
    @Override
    public void onOpen(Link link) {}

    @Override
    public void onFrame(Link link, Frame frame) {}

    @Override
    public void onClose(Link link) {}
  }

  /** Lets only callers call that leave early. */
  void stopSoundLoad() {
    isSoundLoad = false;
  }

  /** Copies the store, for {@link #returnStore}. */
  StoreStandIn.Copy copyStore() {
    return deployment.store().copy();
  }

  /** Lets the store return from an older copy; the targets write again what was lost soon after. */
  void returnStore(StoreStandIn.Copy older) {
    deployment.store().returnTo(older);
    timers.schedule(this::announceAgain, REWRITE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void announceAgain() {
    targets.forEach(
        (id, target) -> deployment.store().put("keyed.servers", id, target.announcement(SERVICE)));
    ended.forEach(id -> deployment.store().put("keyed.servers", id, ""));
  }

  /** Kills drawn entries and starts them again at once, at other ports. */
  void restartEntries(int count) throws IOException, InterruptedException {
    List<String> killed = drawnEntries(count);
    down.addAll(killed);
    for (String entry : killed) {
      deployment.process(entry).destroyForcibly().waitFor();
    }
    for (String entry : killed) {
      startEntry(entry);
    }
    for (String entry : killed) {
      deployment.await(entry + " ready", () -> deployment.readiness(entry) == 200);
      down.remove(entry);
    }
  }

  /** Stops drawn entries for a time. */
  void pauseEntries(int count, long millis) throws IOException, InterruptedException {
    long from = MonotonicClock.millis();
    List<String> paused = drawnEntries(count);
    for (String entry : paused) {
      deployment.pause(entry);
    }
    Thread.sleep(millis);
    for (String entry : paused) {
      deployment.resume(entry);
      pauses.add(new Pause(entry, from, MonotonicClock.millis()));
    }
  }

  private synchronized List<String> drawnEntries(int count) {
    List<String> drawn = new ArrayList<>(entries);
    Collections.shuffle(drawn, random);
    return drawn.subList(0, count);
  }

  /** Judges the runs of callers that left since a time; those that are under way don't count. */
  Verdict verdict(long since) {
    List<Run> departed =
        runs.stream()
            .filter(run -> departures.containsKey(run.id()) && noticeableAt(run) >= since)
            .filter(run -> run.endedAt() >= departures.get(run.id()).at())
            .toList();
    List<Run> wentOn = departed.stream().filter(run -> isLate(run.endedAt(), run)).toList();
    Map<Long, List<Run>> bySecond =
        departed.stream()
            .collect(
                Collectors.groupingBy(
                    run -> noticeableAt(run) / SECOND_MILLIS, TreeMap::new, Collectors.toList()));
    double worstShare =
        bySecond.values().stream()
            .filter(ofSecond -> ofSecond.size() >= 4)
            .mapToDouble(
                ofSecond ->
                    (double) ofSecond.stream().filter(wentOn::contains).count() / ofSecond.size())
            .max()
            .orElse(0);
    long lateSends = departed.stream().filter(run -> isLate(run.startedAt(), run)).count();
    return new Verdict(departed.size(), wentOn.size(), lateSends, worstShare);
  }

  private boolean isLate(long at, Run run) {
    return at - noticeableAt(run) > ALLOWED_MILLIS;
  }

  /** Returns when a caller left, or when its entry went on after a pause. */
  private long noticeableAt(Run run) {
    Departure departure = departures.get(run.id());
    return pauses.stream()
        .filter(pause -> pause.entry().equals(departure.entry()))
        .filter(pause -> departure.at() >= pause.from() && departure.at() < pause.until())
        .mapToLong(Pause::until)
        .max()
        .orElse(departure.at());
  }

  /** Returns how late event loops were so far, by the logs of the entries. */
  LoopDelays loopDelays() throws IOException {
    List<Long> delays = new ArrayList<>();
    for (String entry : entries) {
      Matcher late = LOOP_LATE.matcher(deployment.logOf(entry));
      while (late.find()) {
        delays.add(Long.parseLong(late.group(1)));
      }
    }
    return new LoopDelays(
        delays.stream().filter(delay -> delay > ALLOWED_MILLIS).count(),
        delays.stream().mapToLong(Long::longValue).max().orElse(0));
  }

  /** Returns the log lines that tell what held event loops. */
  List<String> linesOnHeldLoops() throws IOException {
    List<String> lines = new ArrayList<>();
    for (String entry : entries) {
      deployment
          .logOf(entry)
          .lines()
          .filter(line -> line.contains("loop.held"))
          .forEach(lines::add);
    }
    return lines;
  }

  /** Returns how many lines of each event the entries have logged. */
  Map<String, Long> logLines() throws IOException {
    Pattern event = Pattern.compile("\"event\":\"([a-z_.]+)\"");
    Map<String, Long> counts = new TreeMap<>();
    for (String entry : entries) {
      Matcher line = event.matcher(deployment.logOf(entry));
      while (line.find()) {
        counts.merge(line.group(1), 1L, Long::sum);
      }
    }
    return counts;
  }

  /** Returns how much evidence the entries have exchanged since they started. */
  Evidence evidence() throws InterruptedException {
    Map<String, Double> metrics = crashMetrics();
    return new Evidence(
        metrics.getOrDefault("ibishub_crash_events_total{event=\"suspected\"}", 0.0),
        metrics.getOrDefault("ibishub_crash_messages_total{cause=\"found\"}", 0.0),
        metrics.getOrDefault("ibishub_frames_received_total{kind=\"crash_report\"}", 0.0));
  }

  /** Returns the sums over all entries of the metrics on the exchange of evidence. */
  Map<String, Double> crashMetrics() throws InterruptedException {
    Map<String, Double> sums = new TreeMap<>();
    for (URI page : metricsPages.values()) {
      try {
        metricsClient
            .send(
                HttpRequest.newBuilder(page).timeout(METRICS_TIMEOUT).build(),
                HttpResponse.BodyHandlers.ofString())
            .body()
            .lines()
            .filter(line -> line.startsWith("ibishub_crash_") || line.startsWith("ibishub_frames_"))
            .filter(line -> !line.contains("_bucket{") || line.contains("le=\"0.05\""))
            .map(line -> line.split(" ", 2))
            .forEach(line -> sums.merge(line[0], Double.parseDouble(line[1]), Double::sum));
      } catch (IOException e) {
        sums.merge("unreadable", 1.0, Double::sum);
      }
    }
    return sums;
  }

  @Override
  public void close() {
    timers.shutdownNow();
    transports.values().forEach(WireTransport::close);
    deployment.close();
    targets.values().forEach(ObservedTarget::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
