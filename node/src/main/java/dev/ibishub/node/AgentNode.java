package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.experts.RankAgent;
import dev.ibishub.gateway.experts.RankEngine;
import dev.ibishub.gateway.http.PooledHttpClient;
import dev.ibishub.platform.EngineClient;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.ProcessSignals;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.LinkLimits;
import dev.ibishub.wire.WireTransport;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * An agent process on the users' platform, which polls the engine of one target and connects it to
 * the entries. Behind ibishub's own interface, {@code dev.ibishub.agent.Agent} takes this role.
 */
final class AgentNode {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EventLoop loop;
  private final RankAgent agent;
  private ScheduledFuture<?> nextPoll;

  private AgentNode(EventLoop loop, RankEngine engine) {
    this.loop = loop;
    this.agent = new RankAgent(engine, () -> loop.execute(this::poll));
  }

  /**
   * Polls the engine and schedules the next poll. One timer serves all of an agent's work: two
   * timers with periods of their own woke it 31 times per second, of which 10 are needed.
   */
  private void poll() {
    if (nextPoll != null) {
      nextPoll.cancel(false);
    }
    agent.poll();
    nextPoll = loop.schedule(this::poll, agent.untilNextPollMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Starts an agent.
   *
   * @param file file that the settings were read from
   */
  static void start(NodeSettings settings, Path file) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress engine = SocketAddresses.parse(settings.engineAddress().orElseThrow());
    AgentNode node =
        new AgentNode(
            group.next(),
            new EngineClient(
                new PooledHttpClient(group), engine.getHostString(), engine.getPort()));
    WireTransport transport =
        WireTransport.createOnGroup(
            new Identity(
                settings.processId(),
                "agent",
                settings.zone(),
                ThreadLocalRandom.current().nextLong()),
            group,
            new LinkLimits(settings.maximumHandshakes(), settings.linkMemoryBytes()));
    transport.listen(settings.host(), settings.linkPort(), node.agent).join();
    node.loop.execute(node::poll);
    logger.atInfo().log(
        "%s", LogEvent.of("agent.started").with("engine", settings.engineAddress().orElse("")));
    // A JVM without a handler exits on SIGHUP, which here only means that the settings may have
    // changed. None of the settings that an agent uses can change while it runs.
    new SettingsWatch(file, settings, changed -> {}).start(group);
    ProcessSignals.onStop(
        () -> {
          logger.atInfo().log("%s", LogEvent.of("agent.stopped"));
          System.exit(0);
        });
  }
}
