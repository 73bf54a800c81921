package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.experts.RankAgent;
import dev.ibishub.gateway.http.HttpCaller;
import dev.ibishub.platform.EngineClient;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.StopSignals;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.WireTransport;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An agent: stands beside one target. */
final class AgentNode {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time between two looks at the engine's state while a leader watches, milliseconds; passes take
   * 45 and more, so hardly one is missed.
   */
  private static final long STATE_MILLIS = 45;

  /** Time between two looks at what its requests chose, milliseconds. */
  private static final long PICKS_MILLIS = 120;

  private AgentNode() {}

  static void start(NodeSettings settings, Path file) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress engine = Sockets.address(settings.engineAddress().orElseThrow());
    RankAgent agent =
        new RankAgent(
            new EngineClient(new HttpCaller(group), engine.getHostString(), engine.getPort()));
    WireTransport transport =
        WireTransport.sharing(
            new Identity(
                settings.processId(),
                "agent",
                settings.zone(),
                ThreadLocalRandom.current().nextLong()),
            group);
    transport.listen(settings.host(), settings.linkPort(), agent).join();
    group.scheduleWithFixedDelay(agent::readState, 0, STATE_MILLIS, TimeUnit.MILLISECONDS);
    group.scheduleWithFixedDelay(agent::readPicks, 0, PICKS_MILLIS, TimeUnit.MILLISECONDS);
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
