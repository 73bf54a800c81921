package dev.ibishub.agent;

import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupReply;
import dev.ibishub.wire.generated.OrderReply;
import dev.ibishub.wire.generated.OrderRequest;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/** The open links from entries, with the dispatch of each frame to its handler. Thread-safe. */
final class AgentLinks implements LinkListener {
  private final Set<Link> open = ConcurrentHashMap.newKeySet();
  private final AttemptRunner runner;
  private final Function<OrderRequest, CompletableFuture<OrderReply>> orders;
  private final Function<GroupCommand, CompletableFuture<GroupReply>> groupCommands;
  private final Consumer<Link> onOpened;

  AgentLinks(
      AttemptRunner runner,
      Function<OrderRequest, CompletableFuture<OrderReply>> orders,
      Function<GroupCommand, CompletableFuture<GroupReply>> groupCommands,
      Consumer<Link> onOpened) {
    this.runner = runner;
    this.orders = orders;
    this.groupCommands = groupCommands;
    this.onOpened = onOpened;
  }

  @Override
  public void onOpen(Link link) {
    open.add(link);
    onOpened.accept(link);
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case DISPATCH -> runner.dispatch(link, frame.getDispatch());
      case REVOKE -> runner.revoke(link, frame.getRevoke());
      case CANCEL -> runner.cancel(link, frame.getCancel());
      case ATTACH -> runner.attach(link, frame.getAttach());
      case CREDIT -> runner.credit(frame.getCredit());
      case ORDER_REQUEST ->
          orders
              .apply(frame.getOrderRequest())
              .thenAccept(reply -> link.offer(Frame.newBuilder().setOrderReply(reply).build()));
      case GROUP_COMMAND ->
          groupCommands
              .apply(frame.getGroupCommand())
              .thenAccept(reply -> link.offer(Frame.newBuilder().setGroupReply(reply).build()));
      default -> {
        // A frame kind of a newer release is ignored.
      }
    }
  }

  @Override
  public void onClose(Link link) {
    open.remove(link);
    runner.linkClosed(link);
  }

  /** Returns whether all frames have been written to the links. */
  boolean isFlushed() {
    return open.stream().allMatch(Link::isFlushed);
  }

  void sendToAll(Frame frame) {
    open.forEach(link -> link.offer(frame));
  }
}
