package dev.ibishub.entry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Placement;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.OrderReply;
import dev.ibishub.wire.generated.OrderRequest;
import dev.ibishub.wire.generated.TargetReport;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PlacementReconcilerTest {
  private static final long REVISION = 42;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Link link = Link.over(channel, new Link.Peer("model-1", "agent", "vake", 1));
  private final OrderSender orders =
      new OrderSender(
          target -> Optional.of(link), () -> Instant.EPOCH, Timeouts.on(channel.eventLoop()));
  private List<String> served = List.of("dictionary");
  private boolean ownsTarget = true;
  private final PlacementReconciler reconciler =
      new PlacementReconciler(
          PlacementReconcilerTest::configuration,
          () -> Stream.of(report()),
          target -> ownsTarget,
          orders);

  @Test
  void missingModelIsLoadedWithRevisionAsFencingToken() {
    reconciler.tick();

    assertThat(sent())
        .singleElement()
        .satisfies(
            order -> {
              assertThat(order.getKind()).isEqualTo("load");
              assertThat(order.getModel()).isEqualTo("coding");
              assertThat(order.getFencingToken()).isEqualTo(REVISION);
            });
  }

  @Test
  void nextOrderWaitsForReplyToPreviousOrder() {
    reconciler.tick();
    reconciler.tick();
    assertThat(sent()).hasSize(1);

    orders.onReply(OrderReply.newBuilder().setOrderId(sent().get(0).getOrderId()).build());
    reconciler.tick();

    assertThat(sent()).hasSize(2);
  }

  @Test
  void modelThatIsNotPlacedIsUnloaded() {
    served = List.of("coding", "dictionary", "old");

    reconciler.tick();

    assertThat(sent()).extracting(OrderRequest::getKind).containsExactly("unload");
  }

  @Test
  void targetOfAnotherEntryGetsNoOrder() {
    ownsTarget = false;

    reconciler.tick();

    assertThat(sent()).isEmpty();
  }

  private List<OrderRequest> sent() {
    return channel.outboundMessages().stream()
        .map(Frame.class::cast)
        .map(Frame::getOrderRequest)
        .toList();
  }

  private TargetReport report() {
    return TargetReport.newBuilder().setTarget("model-1").addAllServed(served).build();
  }

  private static Configuration configuration() {
    Placement placement =
        new Placement(
            "model-1", List.of("dictionary", "coding"), List.of(), List.of(), Optional.empty());
    return new Configuration(
        REVISION,
        "tbilisi",
        List.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of("model-1", placement));
  }
}
