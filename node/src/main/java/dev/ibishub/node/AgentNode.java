package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.experts.RankAgent;
import dev.ibishub.gateway.experts.RankEngine;
import dev.ibishub.gateway.http.HttpCaller;
import dev.ibishub.platform.EngineClient;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.StopSignals;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.wire.Identity;
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

/** An agent: stands beside one target. */
final class AgentNode {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EventLoop loop;
  private final RankAgent agent;
  private ScheduledFuture<?> nextLook;

  private AgentNode(EventLoop loop, RankEngine engine) {
    this.loop = loop;
    this.agent = new RankAgent(engine, () -> loop.execute(this::look));
  }

  /**
   * Looks at the engine, and again when that is due. One timer for all that an agent does: two of
   * their own periods woke it 31 times a second, of which it needs 10.
   */
  private void look() {
    if (nextLook != null) {
      nextLook.cancel(false);
    }
    agent.look();
    nextLook = loop.schedule(this::look, agent.untilNextLookMillis(), TimeUnit.MILLISECONDS);
  }

  static void start(NodeSettings settings, Path file) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress engine = Sockets.address(settings.engineAddress().orElseThrow());
    AgentNode node =
        new AgentNode(
            group.next(),
            new EngineClient(new HttpCaller(group), engine.getHostString(), engine.getPort()));
    WireTransport transport =
        WireTransport.sharing(
            new Identity(
                settings.processId(),
                "agent",
                settings.zone(),
                ThreadLocalRandom.current().nextLong()),
            group);
    transport.listen(settings.host(), settings.linkPort(), node.agent).join();
    node.loop.execute(node::look);
    logger.atInfo().log(
        "%s", LogEvent.of("agent.started").with("engine", settings.engineAddress().orElse("")));
    // Without a handler of its own the JVM ends on SIGHUP, which here only says that the settings
    // may have changed. An agent uses none that can change while it runs.
    new SettingsWatch(file, settings, changed -> {}).start(group);
    StopSignals.onStop(
        () -> {
          logger.atInfo().log("%s", LogEvent.of("agent.stopped"));
          System.exit(0);
        });
  }
}
