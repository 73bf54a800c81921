package dev.ibishub.wire;

import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.HelloReply;
import io.netty.channel.Channel;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * One open connection between two of the project's processes, after both sides have said who they
 * are. Thread-safe.
 */
public final class Link {
  /**
   * Bytes that may wait for a peer that reads slowly. Beyond it {@link #offer} refuses, so that a
   * frozen peer costs this much memory and no more.
   */
  static final int MAXIMUM_PENDING_BYTES = 8 << 20;

  private final Channel channel;
  private final Peer peer;

  private Link(Channel channel, Peer peer) {
    this.channel = channel;
    this.peer = peer;
  }

  /** Returns a link over a channel whose handshake is over. */
  public static Link over(Channel channel, Peer peer) {
    return new Link(channel, peer);
  }

  /** Who stands at the other end. */
  public Peer peer() {
    return peer;
  }

  public boolean isOpen() {
    return channel.isActive();
  }

  /**
   * Sends a frame.
   *
   * @param frame the frame
   * @return false when the frame was surely not sent, as the link is closed or the peer takes
   *     nothing; true says nothing about arrival
   */
  public boolean offer(Frame frame) {
    // A frame for a closed channel never becomes bytes, so "false" is proof that the peer cannot
    // have seen it. Once handed to the channel it may arrive even if the write later fails.
    if (!channel.isActive() || pendingBytes() > MAXIMUM_PENDING_BYTES) {
      return false;
    }
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  /** Whether all that was offered has been handed to the operating system. */
  public boolean isFlushed() {
    return !channel.isActive() || pendingBytes() == 0;
  }

  /** Closes the link; frames already offered may or may not arrive. */
  public void close() {
    channel.close();
  }

  /** Done when the link has closed, whoever closed it. */
  public CompletableFuture<Void> closed() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    channel.closeFuture().addListener(future -> done.complete(null));
    return done;
  }

  private long pendingBytes() {
    var buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  @Override
  public String toString() {
    return peer.processId() + "@" + channel.remoteAddress();
  }

  /**
   * Who a process says it is.
   *
   * @param processId its name in the settings
   * @param role {@code entry} or {@code agent}
   * @param zone its failure domain
   * @param incarnation drawn anew at each start
   */
  public record Peer(String processId, String role, String zone, long incarnation) {
    public Peer {
      Objects.requireNonNull(processId);
      Objects.requireNonNull(role);
      Objects.requireNonNull(zone);
    }

    static Peer of(HelloReply reply) {
      return new Peer(
          reply.getProcessId(), reply.getRole(), reply.getZone(), reply.getIncarnation());
    }
  }
}
